#!/bin/sh
# Fills target/deps with the pinned libraries and the project, compiled: the
# repository is read-only when the daemons run, and their start counts.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -e target/.libraries ] \
    || [ deploy/requirements.txt -nt target/.libraries ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps \
        -r deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/sassafrasstair
cp -R src/sassafrasstair target/deps/sassafrasstair
find target/deps/sassafrasstair -name __pycache__ -prune -exec rm -rf {} +
sh deploy/source_digest.sh src/sassafrasstair \
    > target/deps/sassafrasstair/BUILD
python3 -m compileall -q target/deps
