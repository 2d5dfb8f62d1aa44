#!/usr/bin/env bash
# One run of the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# What was sent, answered and run is in record.txt beside it. With TROUBLE=0 the disruption is left out.
set -u
cd "$(dirname "$0")" || exit 2
exec ../../.venv/bin/python case.py
