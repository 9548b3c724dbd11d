#!/bin/sh
# Checks the stand-ins of cases 4 to 8. They are Python 3 scripts that use only its standard
# library, so nothing is compiled; the fronts come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/standins-2/standins.py review/[4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
