#!/usr/bin/env bash
# Demonstrates the product on a stand-in of the users' platform: installs
# packages, builds, and runs a store, engines with loaders, a service without
# models and two gateways on loopback. Stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
exec python3 Meta/demo_platform.py "$@"
