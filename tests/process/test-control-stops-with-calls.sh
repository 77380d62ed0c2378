#!/usr/bin/env bash
# A control process that is told to stop while operators' calls wait at it, or at the
# leader for it, ends soon, and each call ends with an answer or an error.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
start_ready 0
gone() { ! kill -0 "$1" 2>/dev/null; }
leader() { deployment_ctl status 2>/dev/null | sed -n 's/^leader *control-//p'; }
ctl_at() { local i=$1; shift; "$BIN/rattanctl" --control "127.0.0.1:$((BASE + 50 + i))" --token "$OPERATOR_TOKEN" "$@"; }
ctl_from() {  # INDEX ARGS...: at it, and at the others once it has ended
  local i=$1 list; shift
  list="127.0.0.1:$((BASE + 50 + i)),127.0.0.1:$((BASE + 50 + (i + 1) % 3)),127.0.0.1:$((BASE + 50 + (i + 2) % 3))"
  "$BIN/rattanctl" --control "$list" --token "$OPERATOR_TOKEN" "$@"
}
stop_with_calls() {  # INDEX VERSION: a change waits at it for a frozen entry
  { echo "# change after $2"; cat examples/local.toml; } >"$WORK/change-$2.toml"
  (ctl_from "$1" --timeout 20 config apply "$WORK/change-$2.toml" --expect "$2" --wait 6 >"$WORK/apply-$2" 2>&1
    echo "code $?" >>"$WORK/apply-$2") &
  (ctl_at "$1" events watch >"$WORK/events-$2" 2>&1; echo "code $?" >>"$WORK/events-$2") &
  sleep 1.5
  local began=$(date +%s%3N)
  deployment_signal TERM "control-$1"
  deployment_until 12 gone "${PID[control-$1]}"
  check "control-$1 ends soon" at_most $(($(date +%s%3N) - began)) 3000
  check "the change's caller gets an end" deployment_until 15 grep -q '^code 3' "$WORK/apply-$2"
  check "the watcher gets an end" deployment_until 5 grep -q '^code' "$WORK/events-$2"
  wait "${PID[control-$1]}"
  check "control-$1 ends in order" equal $? 0
  cat "$WORK/apply-$2"
}
deployment_signal STOP entry-1
first=$(leader)
follower=$(((first + 1) % 3))
echo "-- a follower"
stop_with_calls $follower 1
deployment_start_control $follower
deployment_until 20 deployment_ctl status >/dev/null 2>&1
echo "-- the leader"
held=$(deployment_ctl status | sed -n 's/^config *//p')
stop_with_calls "$(leader)" "$held"
check "the others lead on" deployment_until 10 deployment_ctl status
deployment_signal CONT entry-1
finish
