#!/usr/bin/env bash
# Prepares what the scripts start. The stand-ins are Python 3 files of the standard library, so there is nothing to
# compile; this checks that they can be loaded. The node is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "standins"); import standins'
for script in */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
echo "the stand-ins can be loaded"
