#!/usr/bin/env bash
# Connections of one entry to control go silent while new ones work; then the
# entry is cut off from control for a time.
. "$(dirname "$0")/common.sh"

eval "$(declare -f deployment_entry_settings | sed '1s/.*/plain_entry_settings ()/')"
deployment_entry_settings() {  # INDEX: entry-0 reaches control through proxies
  plain_entry_settings "$1"
  [ "$1" = 0 ] || return 0
  local i list=""
  for i in 0 1 2; do
    deployment_spawn "proxy-$i" "$BIN/rattanward-fake-proxy" --target "127.0.0.1:$((BASE + 40 + i))"
    deployment_until 5 grep -q '^listen' "$DIR/proxy-$i.out" || abort "no proxy"
    list+="\"$(sed -n 's/^listen \([^ ]*\) .*/\1/p' "$DIR/proxy-$i.out")\", "
  done
  sed -i "s/^control_endpoints = .*/control_endpoints = [${list%, }]/" "$DIR/entry-0.toml"
}
proxies() {  # COMMAND...: at each proxy
  local i port answer
  for i in 0 1 2; do
    port=$(sed -n 's/^listen .* control .*:\([0-9]*\)$/\1/p' "$DIR/proxy-$i.out")
    exec 3<>"/dev/tcp/127.0.0.1/$port"
    echo "$*" >&3; read -r answer <&3; exec 3>&-
    [ "$answer" = ok ] || abort "proxy said $answer"
  done
}
change() { { echo "# change $1"; cat examples/local.toml; } >"$WORK/change.toml"; }
silent_seen() { [ "$(grep -c peer-silent "$DIR/entry-0.log")" -ge "$1" ]; }

deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 5 || abort "no engine"
start_ready 1

for direction in both to-target from-target; do
  echo "-- open connections go silent: $direction"
  before=$(grep -c peer-silent "$DIR/entry-0.log")
  proxies silence "$direction"
  check "the entry notices" deployment_until 6 silent_seen $((before + 3))
  version=$(deployment_ctl status | sed -n 's/^config *//p')
  change "$direction"
  check "a change is accepted over new connections" \
    deployment_ctl config apply "$WORK/change.toml" --expect "$version" --wait 10
done

echo "-- the entry is cut off from control"
proxies cut both
sleep 3
version=$(deployment_ctl status | sed -n 's/^config *//p')
change cut
deployment_ctl config apply "$WORK/change.toml" --expect "$version" --wait 6 >"$WORK/answer"
check "the change is pending, since the whole domain is silent" equal "$?" 3
check "the domain is named" grep -q '^pending in: a$' "$WORK/answer"
chat 0 "$PORT_KEY" gate true 3 cut >"$WORK/cut"
check "the entry serves, since it hears other entries" whole_stream "$WORK/cut"
proxies open
check "the change is accepted once the link is back" deployment_until 10 deployment_ctl config status
finish
