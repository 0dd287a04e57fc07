#!/usr/bin/env bash
# Checks the rules for the structure of the code (docs/DEVELOPERS.md) and prints each line that violates one.
set -u
cd "${1:-$(dirname "$0")/..}" || exit 2
failures=0
report() {
  [ -z "$2" ] && return
  printf '%s\n%s\n' "$1" "$2"
  failures=$((failures + 1))
}
sources=$(find . -path ./Build -prune -o -path './Build-*' -prune -o -path ./target -prune -o \( -name '*.cpp' -o -name '*.h' \) -print | sed 's|^\./||' | sort)
product=$(grep -vE '^(Tests|StandIns|Bench|Meta)/' <<<"$sources")
# Names of files that encode messages or own sockets. All other files of the packages make decisions.
edges='(Codec|Client|Server|Session|Endpoint)[A-Za-z]*\.(cpp|h)$'
deciding=$(grep -E '^(Caller|Engine|Service|ObjectStore|WeightStore|Entry|Agent|Operator)/' <<<"$product" | grep -vE "$edges")
report 'threads (one loop on one thread):' \
  "$(grep -nE 'std::(j?thread|async|mutex|condition_variable)\b|thread_pool|sleep_for|usleep' $product)"
report 'virtual outside a base class of a library (concepts and templates):' \
  "$(grep -nE '\bvirtual\b' $product)"
report 'a clock read outside Programs/ (the present time is an argument):' \
  "$(grep -nE '(steady|system|high_resolution)_clock::now|\btime\(nullptr\)|clock_gettime|gettimeofday' $product | grep -v '^Programs/')"
[ -n "$deciding" ] && {
  report 'a deciding file includes a socket or a codec:' \
    "$(grep -nE '#include [<"](boost/(asio|beast)|json/|jsonrpccpp|openssl/ssl|Base/(Http|Rpc|Json|EventLoop)|.*(Codec|Client|Server|Session|Endpoint)[A-Za-z]*\.h)' $deciding | grep -v '"Base/Endpoint.h"')"
  report 'a deciding file reads the loop'"'"'s clock:' "$(grep -nE '\.Now\(\)' $deciding)"
}
# Names of the platform's wire format, which only platform/ encodes and decodes.
wire='Request-Id|Server-Limit|Deadline-Ms|Prompt-Prefix|Last-Event-Id|Server-Seal|Expect-Instance|Server-Load|Not-Executed|Instance-Id|Token-Count|Request-Priority|Weight-Versions|Expect-Version|Pin-Ms|Length-Hint|Kv-(Fetch|From|Backup)|kv-(events|list|handle|pin|move)|hold-(take|drop)|innerPortRange|listenAddrs|nodeName|coldLeftMs|seqNo|fenceToken|currentRev|hasMore|allowStale|atHand|inMemory|onDisk|pathPrefix|maxAttempts|ratePerS|gapTargetMs|SARDINEFOLD_NODE_FILE'
report 'a name of the platform'"'"'s wire outside platform/:' \
  "$(grep -nE "\"($wire)\"" $(grep -vE '^(platform|Tests|StandIns)/' <<<"$sources"))"
report 'a banner (sources start with code):' \
  "$(for file in $sources; do head -n 1 "$file" | grep -qE '^(/\*|//)' && echo "$file"; done)"
report 'const on the left:' \
  "$(grep -nE '(^|[(,<[:space:]])const (std::|auto\b|char\b|int\b|unsigned\b|bool\b|[A-Z])' $sources | grep -vE '//|"' )"
report 'a public header without #pragma once:' \
  "$(for file in $(grep '\.h$' <<<"$sources"); do grep -q '#pragma once' "$file" || echo "$file"; done)"
[ "$failures" -eq 0 ] && echo 'shape: every rule holds'
exit $((failures > 0))
