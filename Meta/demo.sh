#!/usr/bin/env bash
# Demonstrates the product: installs packages, builds, runs stand-ins, entries
# and agents on loopback, serves a model that is not loaded, and shows the
# guarantees. Stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
exec python3 Meta/demo.py "$@"
