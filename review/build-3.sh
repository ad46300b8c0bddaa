#!/bin/sh
# The stand-ins of this review are Python 3 programs without other libraries. They need no build; this
# checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
for program in stage-3/stage.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
