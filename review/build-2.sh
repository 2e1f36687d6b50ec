#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, the project's own ones included: compiles them, and loads
# them with the libraries that the deploy file's build has put into target/deps.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the deploy file's build first" >&2; exit 2; }
python3 -m compileall -q review/standins-2 src/dragonflycove/standins/platform
PYTHONPATH=target/deps python3 -c "import sys; sys.path.insert(0, 'review/standins-2'); import standins2"
