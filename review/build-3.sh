#!/bin/sh
# Prepares the scripts of review/11 to review/14: puts the sources of the commit that `production` in
# deploy/system.toml names into target/production, and checks that python3 can read the stand-ins,
# which need no building. All nodes use the libraries of target/deps, made by the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)
rm -rf target/production target/production.tar
mkdir -p target/production
git archive --output=target/production.tar "$commit" src scripts deploy
tar -x -f target/production.tar -C target/production
rm target/production.tar
python3 - review/standins-3/review_platform.py review/1[1-4]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PYTHON
