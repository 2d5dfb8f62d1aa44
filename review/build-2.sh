#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the sender. The stand-ins need Python's standard library alone, by the
# interpreter that the deploy file's build has made: compiling them shows that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 2; }
../.venv/bin/python -m compileall -q stand_ins_2
