#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file: they are Python modules
# that need nothing but the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for module in review/support/*.py review/[1-5]/*.py; do
  [ -e "$module" ] || continue
  PYTHONPATH=target/deps python3 - "$module" <<'PYTHON'
import pathlib, sys
compile(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1], "exec")
PYTHON
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c "import review.support.hosts, review.support.platform, medlarvale"
touch target/review/built
