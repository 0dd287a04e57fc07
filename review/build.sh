#!/usr/bin/env bash
# Builds the drivers of the cases, with their stand-ins, into target/review/. Needs only
# the compiler that deploy/system.toml names, after its build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in Descriptors Bodies; do
  g++ -std=c++20 -O1 -Wall -Wextra -I. -o "target/review/$name" "review/Tools/$name.cpp"
done
