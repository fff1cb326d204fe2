#!/usr/bin/env bash
# Prepares what the scripts of this folder start beside the deploy file's build
# (target/). The stand-ins are Python files that use its standard library only;
# Python comes with the build's packages (libglib2.0-dev depends on it).
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob
for path in ["standins.py"] + sorted(glob.glob("[0-9]*/case.py")):
    ast.parse(open(path).read(), path)
CHECK
echo "stand-ins: valid"
