#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway: their stand-ins and clients, which need the JDK alone. The
# gateway is built by `build` in deploy/balancer.toml. Run from anywhere; writes to review/common-2/target.
set -eu
review=$(cd "$(dirname "$0")" && pwd)
out="$review/common-2/target"
rm -rf "$out"
mkdir -p "$out"
javac -encoding UTF-8 -d "$out" "$review"/common-2/*.java "$review"/[0-9]*/Case*.java
