#!/usr/bin/env bash
# Builds everything: ./Meta/build.sh [preset]. The preset is "release" unless one is named.
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
