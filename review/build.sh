#!/bin/sh
# The stand-ins are in Python and use the standard library only: they are
# compiled here, so that a fault in them shows before a case runs.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py 1 2 3
