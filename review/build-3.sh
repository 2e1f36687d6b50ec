#!/usr/bin/env bash
# Prepares the scripts of review/11 to review/15: puts the sources of the commit that `production` in
# deploy/system.toml names into target/production, and checks that python3 can read the stand-ins,
# which need no building. All nodes use the libraries of target/deps, made by the deploy file's build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
rm -rf target/production
mkdir -p target/production
git archive "$commit" src scripts deploy | tar -x -C target/production
python3 - review/standins-3/review_platform.py review/1[1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PYTHON
