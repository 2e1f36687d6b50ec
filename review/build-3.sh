#!/usr/bin/env bash
# Checks that the stand-ins of review/11 to review/15 can be read by python3; they need no building.
# The scripts use the libraries of target/deps, which the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - standins-3/review_platform.py 1[1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PYTHON
