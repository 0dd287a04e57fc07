# Sourced by the scripts under review/. Runs a small site on loopback addresses: the stand-in of the
# platform with one engine and one plain service, a loader beside the engine, and two gateways, all
# as separate processes. Everything lives in a temporary folder and ends with the script.

here=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
record="$case_folder/record.txt"
trouble=${TROUBLE:-1}
memory_mb=${memory_mb:-260}
max_fds=${max_fds:-4100}

store_address=127.0.1.1
engine_address=127.0.2.1
service_address=127.0.3.1
gateways=(127.0.4.1 127.0.4.2)
gateway_pids=(0 0)

say() { printf '%s\n' "$*" | tee -a "$record"; }
cannot_run() { say "cannot run: $*"; exit 2; }

# Notes a process that the script has started, so that it is ended with the script.
note_process() { echo "$1" >>"$folder/pids"; }

stop_all() {
  local pid
  while read -r pid; do
    kill -KILL "$pid"
  done <"$folder/pids"
  wait
  rm -rf "$folder"
} 2>/dev/null

is_taken() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# Prints a port at which nothing answers, below the range that the system gives out by itself.
free_port() {
  local port address
  while true; do
    port=$((20000 + RANDOM % 10000))
    for address in "$store_address" "$engine_address" "$service_address" "${gateways[@]}"; do
      is_taken "$address" "$port" && continue 2
    done
    echo "$port"
    return
  done
}

# Sends standard input to an address and prints what comes back within some seconds.
exchange() {
  local address=$1 port=$2 seconds=$3
  exec 3<>"/dev/tcp/$address/$port" || return 1
  cat >&3
  timeout "$seconds" cat <&3
  exec 3<&- 3>&-
}

node_head() {
  printf 'nodeName: "%s"\nzone: "a"\nregion: "r"\nzones: {a: "r"}\nip: "%s"\n' "$1" "$2"
  printf 'innerPortRange: [%s, %s]\n' "$peer_port" $((peer_port + 1))
  printf 'platform: {address: "%s:%s"}\n' "$store_address" "$store_port"
  printf 'limits: {cpuShare: 0.19, cores: 1, memoryMb: %s, maxFds: %s}\n' "$memory_mb" "$max_fds"
  printf 'bounds: {drainMs: 2000, graceS: 8, leaseMs: 3000, retryBudgetRatio: 0.2, retrySlack: 52}\n'
}

start_gateway() {
  SARDINEFOLD_NODE_FILE="$folder/front-$1.yaml" SARDINEFOLD_METRICS_PORT=$metrics_port \
    "$here/target/sardinefold-gateway" >>"$folder/front-$1.log" 2>&1 &
  gateway_pids[$1]=$!
  note_process $!
}

is_ready() {
  printf 'GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' |
    exchange "$1" "$ready_port" 1 2>/dev/null | head -n 1 | grep -q ' 200 '
}

# Returns whether the gateway is ready within 10 s.
wait_until_ready() {
  local tries
  for ((tries = 0; tries < 50; ++tries)); do
    is_ready "${gateways[$1]}" && return 0
    sleep 0.2
  done
  return 1
}

# The configuration of a small deployment, with the limits of the users' sheets.
configuration() {
  cat <<'JSON'
{"metadata":{"name":"main"},"spec":{"version":7,
"routes":[
 {"name":"chat","host":"site.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":8000,"goalMs":600,
  "priority":0,"service":"llm","maxAttempts":2,"resumable":true,"gapTargetMs":300},
 {"name":"report","host":"site.example","pathPrefix":"/report/","kind":"streaming","timeoutMs":20000,"goalMs":3000,
  "priority":1,"service":"llm","maxAttempts":1,"resumable":false,"gapTargetMs":300},
 {"name":"order","host":"site.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":1500,"goalMs":150,
  "service":"desk","maxAttempts":1},
 {"name":"look","host":"site.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,"goalMs":150,
  "service":"desk","maxAttempts":2}],
"services":[
 {"name":"llm","healthPath":"/health","maxConns":360,
  "engine":{"slots":8,"kvCapacity":120388,"weightsMb":200,"adapterSlots":8,"models":[
   {"name":"common","weightsMb":90,"loadS":1.0,"adapterMb":1},
   {"name":"own1","weightsMb":90,"loadS":1.0,"adapterMb":1},
   {"name":"rare","weightsMb":90,"loadS":1.0,"adapterMb":1}]}},
 {"name":"desk","healthPath":"/health","maxConns":96}],
"tenants":[{"name":"marshals","apiKeys":["key-1"],"unit":"token_stream","plainTokens":200,
 "ratePerS":32354,"burst":32354}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}
JSON
}

# Replaces the stand-in's configuration and waits for the time that it has to be in force.
put_configuration() {
  local text
  text=$(configuration | tr -d '\n')
  printf 'PUT /v1/objects/config/main HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
    "${#text}" "$text" | exchange "$store_address" "$store_port" 2 | head -n 1 | grep -q ' 200 ' ||
    cannot_run "the stand-in's store did not take the configuration"
  sleep 2.5
}

start_site() {
  : >"$record"
  local program number
  for program in target/sardinefold-gateway target/sardinefold-loader target/review-2/standin-site; do
    [ -x "$here/$program" ] || cannot_run "$program is missing; build the deploy file, then review/build-2.sh"
  done
  folder=$(mktemp -d)
  : >"$folder/pids"
  trap stop_all EXIT
  trap 'exit 2' INT TERM
  store_port=$(free_port) engine_port=$(free_port) peer_port=$(free_port)
  front_port=$(free_port) ready_port=$(free_port) metrics_port=$(free_port)
  "$here/target/review-2/standin-site" --listen="$store_address:$store_port" --engines=1 --services=1 \
    --port="$engine_port" >"$folder/site.log" 2>&1 &
  note_process $!
  { node_head side-1 "$engine_address"; printf 'app: "%s:%s"\nservice: "llm"\nlistenAddrs: {}\n' \
    "$engine_address" "$engine_port"; } >"$folder/side-1.yaml"
  SARDINEFOLD_NODE_FILE="$folder/side-1.yaml" SARDINEFOLD_METRICS_PORT=$metrics_port \
    "$here/target/sardinefold-loader" >"$folder/side-1.log" 2>&1 &
  note_process $!
  for number in "${!gateways[@]}"; do
    { node_head "front-$number" "${gateways[number]}"; printf 'listenAddrs: {front: "%s:%s", ready: "%s:%s"}\n' \
      "${gateways[number]}" "$front_port" "${gateways[number]}" "$ready_port"; } >"$folder/front-$number.yaml"
    start_gateway "$number"
  done
  for number in "${!gateways[@]}"; do
    wait_until_ready "$number" || cannot_run "gateway $number is not ready after 10 s"
  done
  put_configuration
}

# Prints the ids of the requests that the plain service ran, one a line.
runs_of_service() {
  printf 'GET /admin/ran HTTP/1.1\r\nHost: service\r\nConnection: close\r\n\r\n' |
    exchange "$service_address" "$engine_port" 2 | grep -ao '"request":"[^"]*"' | cut -d '"' -f 4
}

# Sets rss_kb to the resident memory of a process, or to 0 if it has ended.
read_memory() {
  local line
  rss_kb=0
  while read -r line; do
    [[ $line == VmRSS:* ]] && rss_kb=${line//[^0-9]/}
  done <"/proc/$1/status"
} 2>/dev/null

# Starts a crowd against one gateway three times, by calling start_crowd NUMBER ROUND, which sets
# crowd_pid. Does what the platform does meanwhile: kills the gateway once it holds more than
# memoryMb, and starts it again. Writes how often that happened to a file.
play_crowds() {
  local number=$1 end=$2 round ends=0 peak=0
  for round in 1 2 3; do
    start_crowd "$number" "$round"
    note_process "$crowd_pid"
    while kill -0 "$crowd_pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
      read_memory "${gateway_pids[number]}"
      ((peak = rss_kb > peak ? rss_kb : peak))
      if [ "$rss_kb" -gt $((memory_mb * 1024)) ]; then
        ((++ends))
        say "gateway $number, crowd $round: holds $((rss_kb / 1024)) MB of $memory_mb MB after $SECONDS s; killed and started again"
        { kill -KILL "${gateway_pids[number]}"; wait "${gateway_pids[number]}"; } 2>/dev/null
        break
      fi
      sleep 0.02
    done
    kill -KILL "$crowd_pid" 2>/dev/null
    wait "$crowd_pid" 2>/dev/null
    if [ "$rss_kb" -gt $((memory_mb * 1024)) ]; then
      sleep 0.3
      start_gateway "$number"
      wait_until_ready "$number" || say "gateway $number is not ready 10 s after its start"
      sleep 2.5
    else
      say "gateway $number, crowd $round: held at most $((peak / 1024)) MB of $memory_mb MB"
    fi
  done
  echo "$ends" >"$folder/ends-$number"
}

# Plays the crowds against both gateways at once, for so many seconds at most. Returns whether the
# rule holds: processes of two machines may not end by themselves three times each.
memory_rule_holds() {
  local end=$((SECONDS + $1)) number machines=0 tracks=()
  for number in "${!gateways[@]}"; do
    play_crowds "$number" "$end" &
    tracks+=($!)
  done
  wait "${tracks[@]}"
  for number in "${!gateways[@]}"; do
    say "gateway $number: $(cat "$folder/ends-$number") times over its memory"
    [ "$(cat "$folder/ends-$number")" -ge 3 ] && ((++machines))
  done
  [ "$machines" -lt 2 ]
}

# Sends a request to the plain service's or the engine's switches.
set_faults() {
  printf 'PUT /admin/faults HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
    "${#2}" "$2" | exchange "$1" "$engine_port" 2 | head -n 1 | grep -q ' 200 ' ||
    cannot_run "the stand-in at $1 did not take $2"
}

# Sends a request of a caller on an open connection.
send_request() {
  local connection=$1 method=$2 path=$3 id=$4
  printf '%s %s HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n' \
    "$method" "$path" "$id" >&"$connection"
} 2>/dev/null

# Reads a response with a length. Sets status to its status, or to 0 if none comes within some
# seconds, or to "closed" if the connection ends before.
read_response() {
  local connection=$1 seconds=$2 line length=0 body
  IFS= read -r -t "$seconds" -u "$connection" line
  case $? in
    0) ;;
    1) status=closed && return ;;
    *) status=0 && return ;;
  esac
  status=${line#* }
  status=${status%% *}
  while IFS= read -r -t 2 -u "$connection" line && line=${line%$'\r'} && [ -n "$line" ]; do
    [[ $line == Content-Length:* ]] && length=${line#*: }
  done
  [ "$length" -eq 0 ] || IFS= read -r -t 2 -N "$length" -u "$connection" body
} 2>/dev/null
