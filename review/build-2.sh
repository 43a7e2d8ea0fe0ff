#!/bin/sh
# Compiles the stand-ins of the scripts in review/4 and later, the project's
# own ones that they use too. The daemons are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q \
    tests/platform/soak review/standins_2.py review/[4-8]
PYTHONPATH=target/deps:. python3 -c "import review.standins_2"
