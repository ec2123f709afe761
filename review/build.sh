#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are scripts that need Python 3 and its standard library
# only; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
