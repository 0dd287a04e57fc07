#!/usr/bin/env bash
# Builds everything into Build/, or into the folder given by BUILD_DIR. The
# arguments are passed to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-Build}
cmake -S . -B "$build" -G Ninja "$@" >"/tmp/sardinefold-cmake.$$.log" 2>&1 || { cat "/tmp/sardinefold-cmake.$$.log"; exit 1; }
rm -f "/tmp/sardinefold-cmake.$$.log"
ninja -C "$build" --quiet
