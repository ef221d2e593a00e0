#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file: Python modules that need
# nothing but the libraries in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 - review/*.py review/[1-5]/case.py <<'PYTHON'
import importlib
import sys

for path in sys.argv[1:]:
    importlib.import_module(path.removesuffix(".py").replace("/", "."))
PYTHON
touch target/review/built
