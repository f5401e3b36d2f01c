#!/usr/bin/env bash
# The stand-ins of the cases 6 and up are Python programs that need nothing but the standard library: compiling them finds what does not run here.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins-2/*.py [0-9]*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
python3 -B -c 'import asyncio, json, sys; sys.exit(sys.version_info < (3, 8))'
