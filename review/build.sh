#!/bin/sh
# The stand-ins are Python programs without dependencies; there is nothing to compile. This checks
# that they can run here.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 10), sys.version'
for file in stand.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
