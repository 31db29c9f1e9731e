#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins are Python files, so they are only compiled.
# Run after the `build` of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2 review/6 review/7 review/8 review/9 review/10
