#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8. They are Python files that need the
# standard library alone, so this only checks that Python is there and reads them.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in ["stand2.py"] + sorted(glob.glob("[4-8]/case.py")):
    ast.parse(open(path).read(), path)
EOF
