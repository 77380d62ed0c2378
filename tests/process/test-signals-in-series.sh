#!/usr/bin/env bash
# A daemon outlives SIGHUP, and ends in order after a SIGTERM that comes early or
# again and again.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
start_ready 0
gone() { ! kill -0 "$1" 2>/dev/null; }
start() { case "$1" in entry-*) deployment_start_entry "${1#*-}" ;; *) deployment_start_control "${1#*-}" ;; esac; }
ends_in_order() {  # NAME: exits with 0 and says so in its log
  deployment_until 3 gone "${PID[$1]}" || return 1
  wait "${PID[$1]}"
  equal $? 0 && tail -n 1 "$DIR/$1.log" | grep -q process-stopped
}
for name in entry-0 control-0; do
  deployment_signal HUP "$name"
  sleep 0.3
  check "$name outlives SIGHUP" kill -0 "${PID[$name]}"
  for pause in $(seq 12); do deployment_signal TERM "$name" 2>/dev/null; sleep 0.05; done
  check "$name ends in order after SIGTERM again and again" ends_in_order "$name"
done
for round in $(seq 8); do
  for name in entry-0 control-0; do
    : >"$DIR/$name.log"
    start "$name"
    until grep -q process-started "$DIR/$name.log"; do gone "${PID[$name]}" && break; done
    deployment_signal TERM "$name"
    check "start $round of $name, ended by SIGTERM at once, ends in order" ends_in_order "$name"
  done
done
finish
