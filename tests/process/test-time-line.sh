#!/usr/bin/env bash
# The time line over the logs of real processes, as docs/operators/time-line.md
# shows it: a cause stands above its effect, and the filters work.
. "$(dirname "$0")/common.sh"

deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a || abort "no engine"
start_ready 1
chat 0 "$PORT_KEY" gate true 3 "which plug" -D "$WORK/head" >/dev/null
REQUEST=$(tr -d '\r' <"$WORK/head" | sed -n 's/^X-Rattanward-Request: //p')
deployment_stop

timeline() { "$BIN/rattanctl" timeline "$@" "$DIR"/entry-*.log "$DIR"/control-*.log; }
names() { awk '!/^ / {print $3}' "$1" | tr '\n' ' '; }
before() {  # FIRST SECOND FILE: the first line with FIRST is above that with SECOND
  local a b
  a=$(grep -n -m1 "$1" "$3" | cut -d: -f1) b=$(grep -n -m1 "$2" "$3" | cut -d: -f1)
  [ -n "$a" ] && [ -n "$b" ] && [ "$a" -lt "$b" ] || { echo "  $1: line $a, $2: line $b"; return 1; }
}

timeline --request "$REQUEST" >"$WORK/request" || abort "timeline failed"
check "a request's events in their order" \
  equal "$(names "$WORK/request")" "request-arrived request-dispatched request-finished "
timeline --account port >"$WORK/account"
check "an account's requests" equal "$(cat "$WORK/account")" "$(cat "$WORK/request")"
timeline --version 1 >"$WORK/version"
check "a version is committed, then in force" before config-committed config-in-force "$WORK/version"
check "then accepted" before config-in-force config-accepted "$WORK/version"
timeline --json >"$WORK/json"
check "JSON lines, one a record" equal "$(wc -l <"$WORK/json")" "$(cat "$DIR"/*.log | wc -l)"
timeline --html >"$WORK/page.html"
check "a page with a picture" grep -q "<circle" "$WORK/page.html"
finish
