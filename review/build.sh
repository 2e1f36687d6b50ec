#!/usr/bin/env bash
# The stand-ins are Python scripts of the standard library: there is nothing to build but their check.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "python3 3.11 is needed"
for path in pathlib.Path(".").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
PY
