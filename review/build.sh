#!/bin/sh
# The cases' stand-ins are Python programs of the standard library: nothing is compiled. This checks that they load.
cd "$(dirname "$0")" || exit 2
exec python3 -B - <<'END'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 is needed")
for path in sorted(glob.glob("lib/*.py") + glob.glob("*/test.py")):
    with open(path) as f:
        ast.parse(f.read(), path)
print("stand-ins: ready")
END
