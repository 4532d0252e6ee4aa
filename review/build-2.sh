#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python files that need
# the standard library only, so checking that they compile is all.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - harness2/*.py [4-8]/*.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as file:
        compile(file.read(), name, 'exec')
PY
