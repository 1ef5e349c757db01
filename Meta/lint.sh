#!/usr/bin/env bash
# Runs the linter over every source, or over the ones named. Needs a configured release build.
# A file whose preprocessed text, rules and linter are unchanged since it last passed is not read again.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="${LINT_CACHE:-.cache/lint}"
mkdir -p "$cache"
export cache
check_one() {
    local file="$1" key
    key=$( { cat .clang-tidy; clang-tidy-14 --version; g++ -std=gnu++20 -E -P -ILibraries "$file" 2>/dev/null; } | xxhsum -H2 - 2>/dev/null | cut -d' ' -f1)
    [ -n "$key" ] && [ -e "$cache/$key" ] && return 0
    if clang-tidy-14 --quiet -p Build/release "$file" 2>/dev/null; then
        [ -z "$key" ] || touch "$cache/$key"
        return 0
    fi
    echo "lint: $file" >&2
    return 1
}
export -f check_one
if [ "$#" -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp'); fi
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check_one "$1"' _ {}
