# Functions that start and stop a local deployment on loopback. To be sourced.
# Only scripts start processes; every process is stopped by its id.
#
#   deployment_start DIR [BASE_PORT] 3 entries, 3 control processes, one of each
#                                    in the failure domains a, b and c
#   deployment_engine NAME FLAGS...  one more stand-in engine
#   deployment_service NAME FLAGS... one more stand-in service
#   deployment_ready                 waits until the entries answer
#   deployment_stop                  stops all that was started
#
# With DEPLOYMENT_RELAYS set, entries relay requests to each other.
#
# After deployment_start: ENTRY_0..2, CONTROL_OPERATORS, ANNOUNCE, PID[name].
BIN=${BUILD:-build}
ANNOUNCE_TOKEN=local-announce-token-0001
OPERATOR_TOKEN=local-operator-token-0001
SHARED_SECRET=local-shared-secret-0001
PORT_KEY=demo-key-port-0001
TUUL_KEY=demo-key-tuul-0001
DOMAINS=(a b c)
declare -A PID=()
declare -A URL=()

deployment_spawn() {  # NAME COMMAND...
  local name=$1; shift
  "$@" >>"$DIR/$name.out" 2>&1 &
  PID[$name]=$!
}

deployment_list() {  # FIRST_PORT: the three endpoints as TOML
  echo "[\"127.0.0.1:$1\", \"127.0.0.1:$(($1 + 1))\", \"127.0.0.1:$(($1 + 2))\"]"
}

deployment_entry_settings() {  # INDEX
  cat >"$DIR/entry-$1.toml" <<TOML
process = "entry-$1"
vm = "vm-entry-$1"
failure_domain = "${DOMAINS[$1]}"
http_listen = "127.0.0.1:$((BASE + 10 + $1))"
announce_listen = "127.0.0.1:$((BASE + 20 + $1))"
peer_listen = "127.0.0.1:$((BASE + 30 + $1))"
control_endpoints = $(deployment_list $((BASE + 40)))
shared_secret = "$SHARED_SECRET"
announce_token = "$ANNOUNCE_TOKEN"
log_file = "entry-$1.log"
shutdown_grace_ms = ${SHUTDOWN_GRACE_MS:-300}
profile = "${PROFILE:-standard}"
TOML
  [ -z "${ENTRY_MEMORY_MB:-}" ] || echo "memory_mb = $ENTRY_MEMORY_MB" >>"$DIR/entry-$1.toml"
  local i
  for i in 0 1 2; do
    [ "$i" = "$1" ] && continue
    cat >>"$DIR/entry-$1.toml" <<TOML

[[peers]]
process = "entry-$i"
failure_domain = "${DOMAINS[$i]}"
endpoint = "127.0.0.1:$((BASE + 30 + i))"
TOML
    [ -z "${DEPLOYMENT_RELAYS:-}" ] ||
      echo "http = \"127.0.0.1:$((BASE + 10 + i))\"" >>"$DIR/entry-$1.toml"
  done
}

deployment_control_settings() {  # INDEX
  cat >"$DIR/control-$1.toml" <<TOML
process = "control-$1"
vm = "vm-control-$1"
failure_domain = "${DOMAINS[$1]}"
data_folder = "control-$1-data"
peer_listen = "127.0.0.1:$((BASE + 40 + $1))"
operator_listen = "127.0.0.1:$((BASE + 50 + $1))"
initial_voters = $(deployment_list $((BASE + 40)))
bootstrap = true
shared_secret = "$SHARED_SECRET"
operator_token = "$OPERATOR_TOKEN"
log_file = "control-$1.log"
TOML
}

deployment_start_entry() {  # INDEX
  deployment_spawn "entry-$1" "$BIN/rattanwardd" --settings "$DIR/entry-$1.toml"
}

deployment_start_control() {  # INDEX
  deployment_spawn "control-$1" "$BIN/rattanward-control" --settings "$DIR/control-$1.toml"
}

deployment_free_base() {  # a base with a hundred ports that nobody listens on
  local base port try
  for try in $(seq 50); do
    base=$((10000 + (RANDOM % 200) * 100))
    for port in $(seq $((base + 10)) $((base + 59))); do
      (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue 2
    done
    echo "$base"; return 0
  done
  return 1
}

deployment_start() {  # DIR [BASE_PORT]
  DIR=$1 BASE=${2:-$(deployment_free_base)}
  rm -rf "$DIR" && mkdir -p "$DIR"
  DIR=$(cd "$DIR" && pwd)
  ANNOUNCE="127.0.0.1:$((BASE + 20)),127.0.0.1:$((BASE + 21)),127.0.0.1:$((BASE + 22))"
  CONTROL_OPERATORS="127.0.0.1:$((BASE + 50)),127.0.0.1:$((BASE + 51)),127.0.0.1:$((BASE + 52))"
  local i
  for i in 0 1 2; do
    URL[entry-$i]="http://127.0.0.1:$((BASE + 10 + i))"
    deployment_control_settings $i
    deployment_entry_settings $i
    deployment_start_control $i
    deployment_start_entry $i
  done
}

deployment_upstream() {  # PROGRAM NAME FLAGS...
  local program=$1 name=$2; shift 2
  deployment_spawn "$name" "$BIN/$program" --instance "$name" --entries "$ANNOUNCE" \
    --announce_token "$ANNOUNCE_TOKEN" "$@"
  local try
  for try in $(seq 100); do
    URL[$name]=$(sed -n 's/^listening on /http:\/\//p' "$DIR/$name.out" 2>/dev/null)
    [ -n "${URL[$name]}" ] && return 0
    sleep 0.05
  done
  echo "$name did not start"; return 1
}
deployment_engine() { deployment_upstream rattanward-fake-engine "$@"; }
deployment_service() { deployment_upstream rattanward-fake-service "$@"; }

deployment_ctl() {  # rattanctl's arguments
  "$BIN/rattanctl" --control "$CONTROL_OPERATORS" --token "$OPERATOR_TOKEN" "$@"
}

deployment_until() {  # SECONDS COMMAND...: repeats the command until it succeeds
  local end=$((SECONDS + $1)); shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

deployment_entry_ready() {  # INDEX [UPSTREAMS]
  curl -sf -m 2 "${URL[entry-$1]}/health/ready" |
    grep -Eq "\"upstreams\":$( [ -n "${2:-}" ] && echo "$2" || echo '[0-9]+')[,}]"
}

deployment_ready() {  # [UPSTREAMS]: waits until each entry is ready and knows them
  local i
  for i in 0 1 2; do
    deployment_until 20 deployment_entry_ready $i "${1:-}" || { echo "entry-$i is not ready"; return 1; }
  done
}

deployment_signal() { kill "-$1" "${PID[$2]}"; }  # SIGNAL NAME

deployment_stop() {
  local name pids=()
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -TERM "${PID[$name]}" 2>/dev/null && pids+=("${PID[$name]}")
  done
  local end=$((SECONDS + 8))
  while [ "$SECONDS" -lt "$end" ] && [ "${#pids[@]}" -gt 0 ] && kill -0 "${pids[@]}" 2>/dev/null; do sleep 0.1; done
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  PID=()
}

chat() {  # ENTRY_INDEX KEY CLASS STREAM TOKENS [PROMPT] [CURL_FLAGS...]
  local entry=$1 key=$2 class=$3 stream=$4 tokens=$5 prompt=${6:-hello}
  shift $(($# < 6 ? $# : 6))
  curl -sN -m 60 "$@" -H "Authorization: Bearer $key" -H "X-Request-Class: $class" \
    -H 'Content-Type: application/json' "${URL[entry-$entry]}/v1/chat/completions" \
    -d "{\"model\":\"small\",\"stream\":$stream,\"max_tokens\":$tokens,\"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}"
}
