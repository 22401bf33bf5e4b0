#!/usr/bin/env bash
# Makes the stand-ins of the scripts ready. They are Python of the standard
# library alone, so they are only compiled; nothing is written beside them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
    print("compiled", path)
PYTHON
test -x ../target/packages/daemon/camphornotchd ||
  { echo "run the build of the deploy file first"; exit 1; }
