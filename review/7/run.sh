#!/usr/bin/env bash
# Sends requests whose transfer coding is not chunked, with the text of another request as their
# body, and looks whether the service runs that other request. TROUBLE=0 sends the same bodies with
# a length.
set -u
source "$(dirname "$0")/../standins/site.sh"

start_site

inner_request() {
  printf 'POST /order/pickup HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n' "$1"
  printf 'Authorization: Bearer key-1\r\nContent-Length: 4\r\n\r\nbody'
}

outer_request() {
  local id=$1 framing=$2 body=$3
  printf 'POST /order/note HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n' "$id"
  printf 'Authorization: Bearer key-1\r\n%s\r\n\r\n%s' "$framing" "$body"
}

say "TROUBLE=$trouble"
for number in "${!gateways[@]}"; do
  for coding in identity gzip 'chunked, gzip'; do
    id="outer-$number-${coding//[ ,]/}"
    inner="inner-$number-${coding//[ ,]/}"
    body=$(inner_request "$inner"; printf x)
    body=${body%x}
    framing="Transfer-Encoding: $coding"
    [ "$trouble" = 0 ] && framing="Content-Length: ${#body}"
    say "sent to gateway $number: request $id with \"$framing\"; its body holds the text of request $inner"
    outer_request "$id" "$framing" "$body" | exchange "${gateways[number]}" "$front_port" 1 >"$folder/answers"
    say "answered: $(grep -a '^HTTP/1.1\|}HTTP/1.1\|[a-z]HTTP/1.1' "$folder/answers" | grep -ao 'HTTP/1.1 [0-9]*' | tr '\n' ' ')"
  done
done

runs=$(runs_of_service)
say "the service ran: $(tr '\n' ' ' <<<"$runs")"
smuggled=$(grep -c '^inner-' <<<"$runs")
say "requests run that were sent only inside another request: $smuggled"
if [ "$trouble" = 0 ] && ! grep -q '^outer-' <<<"$runs"; then
  cannot_run "the service ran no request at all"
fi
[ "$smuggled" -eq 0 ]
