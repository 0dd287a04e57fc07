#!/usr/bin/env bash
# Tests Meta/check-shape.sh: creates a temporary tree with one violation of each
# rule and expects it to be reported.
set -u
check=$(cd "$(dirname "$0")" && pwd)/check-shape.sh
failures=0
# planted RULE FILE TEXT: fails unless the report for FILE with TEXT names RULE.
planted() {
  local tree
  tree=$(mktemp -d)
  mkdir -p "$tree/$(dirname "$2")"
  printf '#pragma once\n%s\n' "$3" >"$tree/$2"
  local report
  report=$("$check" "$tree")
  local status=$?
  rm -rf "$tree"
  if [ $status -eq 0 ] || ! grep -q "$1" <<<"$report"; then
    printf 'not reported: %s in %s\n%s\n' "$1" "$2" "$report"
    failures=$((failures + 1))
  fi
}
planted 'threads' Base/Planted.h 'inline void Run() { std::thread worker; }'
planted 'virtual' Engine/Planted.h 'struct Planted { virtual void Run(); };'
planted 'a clock read' Entry/Planted.h 'inline auto Now() { return std::chrono::steady_clock::now(); }'
planted 'includes a socket or a codec' Agent/Planted.h '#include <boost/asio/ip/tcp.hpp>'
planted 'includes a socket or a codec' Caller/Planted.h '#include "Engine/EngineCodec.h"'
planted "reads the loop's clock" Engine/Planted.h 'inline auto Time(Loop& aLoop) { return aLoop.Now(); }'
planted 'platform.s wire' Engine/Planted.h 'inline char const* Name() { return "fenceToken"; }'
planted 'platform.s wire' Programs/Planted.h 'inline char const* Name() { return "Prompt-Prefix"; }'
planted 'const on the left' Base/Planted.h 'inline void Take(const std::string& aText);'
# A tree without a violation must pass, which shows that the reports above are
# caused by the violations.
tree=$(mktemp -d)
mkdir -p "$tree/platform"
printf '#pragma once\ninline char const* Name() { return "fenceToken"; }\n' >"$tree/platform/Wire.h"
"$check" "$tree" >/dev/null || { echo 'a tree without a breach is reported'; failures=$((failures + 1)); }
rm -rf "$tree"
[ $failures -eq 0 ] && echo 'shape: each planted breach is reported'
exit $((failures > 0))
