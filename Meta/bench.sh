#!/usr/bin/env bash
# Builds and runs the benchmarks and prints one JSON line per figure; takes
# --only NAME and --seed N.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
exec python3 Meta/bench.py "$@"
