#!/bin/sh
# Checks the stand-ins and the scripts of cases 6 to 10; they need only Python 3.11 and
# its standard library, so nothing is installed or downloaded.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
for case in 6 7 8 9 10; do
    if [ -e "$case/case.py" ]; then set -- "$@" "$case/case.py"; fi
done
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile *_2.py "$@"
