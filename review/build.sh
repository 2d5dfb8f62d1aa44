#!/bin/sh
# Builds every stand-in that a case starts. They are Python and run with the virtual environment of the deploy file's
# build, so that nothing is compiled; this checks that each can be loaded by it.
set -eu
cd "$(dirname "$0")"
PYTHON=../.venv/bin/python
test -x "$PYTHON" || { echo "review/build.sh: run the build of deploy/balancer.toml first" >&2; exit 1; }
"$PYTHON" -B -c "
import sys
sys.path.insert(0, '.')
from stand_ins import client, endpoint, http, platform, record, sender
"
for case in [0-9]*/case.py; do
    "$PYTHON" -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$case"
done
