#!/usr/bin/env bash
# Gateways are stopped and started in turn while a request that crashes its engines comes again and again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no restarts.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standins-3/lib.sh"
[ -x "$bin/CrashSite" ] || cannot_run "no $bin/CrashSite; run review/build-3.sh"
choose_ports
"$bin/CrashSite" --store-port=$store --engine-port=$engine --front-port=$front --ready-port=$ready \
  --gateways=$gateways --seconds=75 --record="$work/record.txt" &
site=$!
pid[site]=$site
sleep 0.5
start_all
# The clients begin 3.5 s after readiness; the request has crashed three engines some seconds later.
sleep 14
if [ "${TROUBLE:-1}" != 0 ]; then
  for number in $(seq $gateways); do
    echo "roll_term: gateway $number" >>"$work/rolled.txt"
    stop_gateway "$number"
    start_gateway "$number"
    sleep 10
  done
fi
wait "$site"
result=$?
unset 'pid[site]'
exit $result
