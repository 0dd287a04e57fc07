#!/usr/bin/env bash
# run.sh DRIVER CASE: runs a driver in a temporary folder. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/$1
record=review/$2/record.txt
[ -x "$driver" ] && [ -x target/sardinefold-gateway ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$driver" "$folder" "$record" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
