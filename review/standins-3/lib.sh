# Functions for the scripts of review/11 and on: ports, settings files, gateways and loaders of a small deployment on
# loopback. The caller sets $here, the folder of the case.
root=$(cd -P "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=$root/target/review-3
work=$(mktemp -d)
declare -A pid=()
gateways=4
loaders=2
# memoryMb of front and side machines.
front_memory=260
side_memory=192

# Ends all processes that the script started, by their ids.
finish() {
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}" 2>/dev/null
    kill -KILL "${pid[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  cp "$work/record.txt" "$here/record.txt" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

cannot_run() {
  echo "not run: $1" >&2
  exit 2
}

is_used() { (: <"/dev/tcp/$1/$2") 2>/dev/null; }

# Sets store, engine, front, ready, metrics and peer to ports that nobody listens on.
choose_ports() {
  local base try
  for try in $(seq 50); do
    base=$((10000 + RANDOM % 20000))
    store=$base engine=$((base + 1)) front=$((base + 2)) ready=$((base + 3)) metrics=9464 peer=$((base + 5))
    is_used 127.0.4.1 $metrics && metrics=$((base + 4))
    is_used 127.0.1.1 $store || is_used 127.0.2.1 $engine || is_used 127.0.3.1 $engine || is_used 127.0.4.1 $front ||
      is_used 127.0.4.1 $ready || is_used 127.0.4.1 $metrics || return 0
  done
  cannot_run "no free ports"
}

# write_node NAME ADDRESS ZONE MEMORY EXTRA: the settings file of a process, with the bounds of sites/tungi-marshal.toml.
write_node() {
  cat >"$work/$1.yaml" <<EOF
nodeName: "$1"
ip: "$2"
zone: "$3"
region: "one"
zones: {a: "one", b: "one", c: "one", d: "one"}
innerPortRange: [$peer, $((peer + 15))]
heartbeatMs: 1200
limits: {cpuShare: 0.19, cores: 1, memoryMb: $4, maxFds: 4100}
bounds: {stableWindowMs: 3000, drainMs: 2000, graceS: 8, configApplyMs: 2000, retryBudgetRatio: 0.2, retryWindowS: 10,
  retrySlack: 52, leaseMs: 3000, thawSlackMs: 300}
platform: {address: "127.0.1.1:$store"}
$5
EOF
}

# Prints the resident memory of a process, in MB.
resident_mb() {
  local name value
  { while read -r name value _; do
    [ "$name" = VmRSS: ] && echo $((value / 1024))
  done <"/proc/$1/status"; } 2>/dev/null
}

zone_of() { echo abcd | cut -c$((($1 - 1) % 4 + 1)); }

# start_node NAME PROGRAM: the command of the deploy file, with the settings file in the variable. Another port for the
# metrics only if theirs is used on this machine.
start_node() {
  local options=()
  [ "$metrics" = 9464 ] || options=(--metrics-port="$metrics")
  (cd "$root" && SARDINEFOLD_NODE_FILE="$work/$1.yaml" exec "target/$2" "${options[@]}") \
    </dev/null >>"$work/$1.log" 2>&1 &
  pid[$1]=$!
}

start_gateway() {
  write_node "front-$1" "127.0.4.$1" "$(zone_of "$1")" $front_memory \
    "listenAddrs: {front: \"127.0.4.$1:$front\", ready: \"127.0.4.$1:$ready\"}"
  start_node "front-$1" sardinefold-gateway
}

start_loader() {
  write_node "side-$1" "127.0.2.$1" "$(zone_of "$1")" $side_memory \
    "$(printf 'listenAddrs: {}\napp: "127.0.2.%s:%s"\nservice: "llm"' "$1" "$engine")"
  start_node "side-$1" sardinefold-loader
}

start_all() {
  local number
  for number in $(seq $loaders); do start_loader "$number"; done
  for number in $(seq $gateways); do start_gateway "$number"; done
}

# stop_gateway N: SIGTERM, and SIGKILL after graceS, as the platform does.
stop_gateway() {
  local id=${pid[front-$1]} waited
  kill -TERM "$id"
  for waited in $(seq 80); do
    kill -0 "$id" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$id" 2>/dev/null
  wait "$id" 2>/dev/null
}
