#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2/. Needs only the
# packages of deploy/system.toml, and the libraries that the build of the deploy file leaves in
# target/.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/libBase.a ] || [ ! -x target/sardinefold-gateway ]; then
  echo "target/ lacks the programs: run the build of deploy/system.toml first" >&2
  exit 1
fi
cmake -S review/standins -B target/review-2 -G Ninja
cmake --build target/review-2
