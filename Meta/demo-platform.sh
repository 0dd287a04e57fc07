#!/usr/bin/env bash
# Shows the product on a stand-in of the users' platform: installs, builds, and
# starts a store, engines with loaders, a plain service and two gateways on
# loopback. Leaves nothing running.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
exec python3 Meta/demo_platform.py "$@"
