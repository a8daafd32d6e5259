#!/usr/bin/env bash
# Builds every stand-in that the cases 4 to 8 start: Python files of the standard library alone, checked by compiling.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/pycache -m compileall -q review/bed_2 review/4 review/5 review/6 review/7 review/8
