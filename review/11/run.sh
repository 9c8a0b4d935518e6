#!/bin/sh
# Exits with 1 if an acknowledged commit is lost, 0 if not, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/11/case.py
