#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
if [ ! -f ../../gateway/target/stonelb.jar ]; then
    echo "the gateway is not built: run the build of deploy/balancer.toml first"
    exit 2
fi
python=$(../common/python.sh) || exit 2
exec timeout --signal=KILL 118 "$python" -B case.py
