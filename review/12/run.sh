#!/bin/sh
# Exits with 1 if the tenant exceeds its limit, 0 if not, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/12/case.py
