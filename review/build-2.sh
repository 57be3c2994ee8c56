#!/bin/sh
# Builds the stand-ins of the second review. They are Python scripts that use the standard library
# only, so nothing is compiled: this checks that the interpreter is there and reads them.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for name in ["standins-2/standins.py"] + sys.argv[1:]:
    compile(open(name).read(), name, "exec")
PY
echo "stand-ins of the second review: ready"
