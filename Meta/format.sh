#!/usr/bin/env bash
# Formats all C++ sources; with --check, only reports those that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r -P 8 -n 8 clang-format "${mode[@]}"
