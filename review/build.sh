#!/usr/bin/env bash
# The stand-ins of the cases are Python files in review/lib; nothing of the
# project's own stand-ins is used. Checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys
import tomllib  # part of the standard library from Python 3.11 on
for name in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
print("stand-ins are ready, Python", sys.version.split()[0])
PYTHON
