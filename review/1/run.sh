#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder; all processes that were started are ended.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 ../../.venv/bin/python -B case.py
status=$?
test "$status" -eq 0 || test "$status" -eq 1 || status=2
exit "$status"
