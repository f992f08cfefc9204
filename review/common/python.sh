#!/usr/bin/env bash
# Prints the path of a Python of version 3.11 or newer.
for candidate in python3 /usr/bin/python3; do
    if "$candidate" -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        command -v "$candidate"
        exit 0
    fi
done
echo "no Python 3.11 found" >&2
exit 1
