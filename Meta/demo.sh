#!/usr/bin/env bash
# Shows the main job: installs, builds, starts stand-ins, entries and agents on
# loopback, serves a cold model, and shows the promises at work. Leaves nothing
# running.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh
exec python3 Meta/demo.py "$@"
