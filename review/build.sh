#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library: they need no
# build, so this only checks that all of them compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
