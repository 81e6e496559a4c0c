#!/bin/sh
# The stand-ins need Python 3.8 or later and its standard library alone: this checks that they can start.
set -eu
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys; assert sys.version_info >= (3, 8), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import glob
for name in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    compile(open(name).read(), name, "exec")
PY
