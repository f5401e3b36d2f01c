#!/usr/bin/env bash
# The stand-ins are Python programs that need only the standard library: there is nothing to compile, so this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/*.py <<'CHECK'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.is_file():
        ast.parse(path.read_text(), name)
CHECK
