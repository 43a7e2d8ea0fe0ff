#!/bin/sh
# Prints a digest of the Python sources in a folder, by name and content.
set -eu
cd "$1"
find . -name '*.py' | LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c1-12
