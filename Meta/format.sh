#!/usr/bin/env bash
# Formats every source in place, or with --check only says which ones are off and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files -z --cached --others --exclude-standard -- '*.cpp' '*.h' | xargs -0 -r clang-format-14 "${mode[@]}"
