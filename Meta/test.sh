#!/usr/bin/env bash
# Installs what is needed, builds, and runs the formatter, the linter and every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install-packages.sh
./Meta/build.sh release
./Meta/format.sh --check
./Meta/lint.sh
if [ -s KNOWN-RED.txt ]; then
    echo "known red tests, each for a real fault that is not mended yet:"
    cat KNOWN-RED.txt
fi
ctest --test-dir Build/release --output-on-failure -j 4
