#!/usr/bin/env bash
# The stand-ins are Python scripts and need no build: this checks that a Python is there and that they compile.
set -eu
cd "$(dirname "$0")"
python=$(common/python.sh)
for script in common/*.py [0-9]*/*.py; do
    "$python" -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script"
done
echo "the stand-ins are ready, with $("$python" --version)"
