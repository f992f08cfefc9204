#!/bin/sh
# Runs the case N: run-case.sh N. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
set -eu
review=$(cd "$(dirname "$0")/.." && pwd)
root=$(dirname "$review")
if [ ! -f "$review/common-2/target/Case$1.class" ] || [ ! -f "$root/gateway/target/stonelb.jar" ]; then
    echo "run 'build' of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx1g -cp "$review/common-2/target" -Dcase.folder="$review/$1" -Droot="$root" "Case$1"
