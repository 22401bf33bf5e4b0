#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start besides the project's
# own processes: stand-ins in Python, which are only checked. Needs python3 >= 3.9.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9)'
for file in lib2/*.py [0-9]*/run.py; do
  [ ! -f "$file" ] || python3 - "$file" <<'CHECK'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
CHECK
done
