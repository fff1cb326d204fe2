#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python 3.11 without
# packages (lab3.py), so there is nothing to compile; this checks them, and that
# the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for f in review/lab3.py review/1[1-5]/case.py; do
  [ ! -f "$f" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
test -x target/packages/daemon/agatebankd
