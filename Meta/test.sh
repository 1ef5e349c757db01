#!/usr/bin/env bash
# Installs what is needed, builds, and runs the formatter, the linter and every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install-packages.sh
./Meta/build.sh release
./Meta/format.sh --check
./Meta/lint.sh
# Each line of KNOWN-RED.txt begins with a test program and the test in it that is passed over, or with "play": a day that
# is played by hand and not here.
red_programs=()
if [ -s KNOWN-RED.txt ]; then
    echo "known red tests, each for a real fault that is not mended yet:"
    cat KNOWN-RED.txt
    mapfile -t red_programs < <(awk '$1 != "play" { print $1 }' KNOWN-RED.txt | sort -u)
fi
passed_over=$(IFS='|'; echo "${red_programs[*]}")
ctest --test-dir Build/release --output-on-failure -j 4 -E "^(${passed_over:-none})\$"
for program in "${red_programs[@]}"; do
    # A test that is a script is passed over whole.
    [[ "$program" == EndToEnd* ]] && [ -e "Tests/EndToEnd/${program#EndToEnd}.py" ] && continue
    red_tests=$(awk -v program="$program" '$1 == program { print $2 }' KNOWN-RED.txt | paste -sd'|')
    "Build/release/bin/$program" -j4 --filter "!($red_tests)"
done
