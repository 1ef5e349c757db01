#!/usr/bin/env bash
# Proves by history checking what must always hold: real processes, seeded faults, one table. Builds first.
# See --help; docs/PROOFS.md says what was run. The histories of failing runs stay under Build/prove.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${PROVE_NO_BUILD:-}" = 1 ] || ./Meta/build.sh release > /dev/null
exec python3 Meta/prove/prove.py "$@"
