#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the sender, after the build of deploy/balancer.toml. The stand-ins need
# Python's standard library alone, by the interpreter that that build has made: compiling them shows that each can be
# read. Case 10 also starts the project's own command for operators and its store of undeliverable messages, which need
# the packages of requirements-console.txt; without them that case alone exits with 2.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 2; }
../.venv/bin/python -m compileall -q stand_ins_2
../.venv/bin/python -c "import click, msgspec" 2>/dev/null ||
    ../.venv/bin/pip -q install -r ../requirements-console.txt ||
    echo "the packages of requirements-console.txt are not installed: case 10 cannot run"
