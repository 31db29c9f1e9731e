#!/bin/sh
# Builds every stand-in that the scripts start. They are plain Python modules that run on the interpreter of
# the deploy file's build, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
