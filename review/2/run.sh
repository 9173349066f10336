#!/bin/sh
# Runs the case. With TROUBLE=0 it does the same without the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec python3 -B case.py
