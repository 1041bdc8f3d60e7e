#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python files of the standard
# library, so it compiles each of them, without writing, and checks their imports.
set -eu
cd "$(dirname "$0")"
python3 - common-2/*.py [4-8]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    raise SystemExit("Python 3.11 or newer is needed")
for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
CHECK
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=common-2 python3 -c "import installation, load, targets"
