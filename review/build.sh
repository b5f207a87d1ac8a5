#!/bin/sh
# The stand-ins are plain Python files of this folder and use the standard
# library only. There is nothing to compile; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
exec python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("read", path)
'
