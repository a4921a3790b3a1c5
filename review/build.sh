#!/bin/bash
# Build the stand-ins of the scripts: they are plain Python without libraries, so only check them.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib/small_site.py review/*/case.py
