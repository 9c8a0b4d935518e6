#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python without dependencies, so
# this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.py [1-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
