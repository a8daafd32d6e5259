#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library only, so this checks and compiles them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common 1/case.py 2/case.py 3/case.py
