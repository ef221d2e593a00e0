#!/usr/bin/env bash
# Checks the stand-ins in kit-2, which run from source with the standard library alone. The hosts run
# from target/deps, where the build of the deploy file has put them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/medlarvale ] || { echo "run the build of the deploy file first" >&2; exit 1; }
for file in review/kit-2/*.py review/{6,7,8,9,10}/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
