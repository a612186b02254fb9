#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the programs of the deploy file. Their stand-ins are
# Python files that need no building; this checks that they compile, and starts none of the project's own stand-ins.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - lib3/*.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(f"{path}: compiles")
PY
