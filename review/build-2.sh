#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 8. They are written in Python and need nothing but its standard
# library (3.11 or later, for tomllib); the node itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in standins-2/*.py [4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
