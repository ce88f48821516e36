#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the build of the deploy file: nothing. The stand-ins of these cases are
# Python 3 with its standard library only (standins3/), which this checks.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for path in [*pathlib.Path("standins3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))'
