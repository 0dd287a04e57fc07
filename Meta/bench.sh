#!/usr/bin/env bash
# Prints one JSON line for each measured figure; takes --only NAME and --seed N.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
exec python3 Meta/bench.py "$@"
