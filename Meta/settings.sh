#!/usr/bin/env bash
# Generates docs/SETTINGS.md from the programs' --help-markdown; with --check,
# only reports whether it differs.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-Build}
page() {
  echo '# Settings'
  echo
  echo 'Each setting is a flag and an environment variable; the flag wins. A value that cannot be used ends the program at its start with status 2 and an error that names both. `Meta/settings.sh` writes this page from the programs'"'"' tables.'
  for program in sardinefold-entry sardinefold-agent sardinefoldctl sardinefold-load sardinefold-gateway sardinefold-loader sardinefold-check; do
    printf '\n## %s\n\n' "$program"
    "$build/$program" --help-markdown
  done
}
if [ "${1:-}" = --check ]; then
  diff <(page) docs/SETTINGS.md || { echo 'docs/SETTINGS.md is out of date: run Meta/settings.sh'; exit 1; }
  exit 0
fi
page >docs/SETTINGS.md
