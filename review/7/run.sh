#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption (read in ../site_2.py).
cd "$(dirname "$0")" && exec python3 -B case.py
