#!/usr/bin/env bash
# Plays seeded faults on real processes that speak the users' platform, and checks what callers were promised.
# Builds first. See --help; docs/PROOFS.md says what was run. Failing runs leave their logs under Build/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${SOAK_NO_BUILD:-}" = 1 ] || ./Meta/build.sh release > /dev/null
exec python3 Meta/soak/soak.py "$@"
