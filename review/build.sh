#!/usr/bin/env bash
# The stand-ins of the scripts are plain Python and need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
