#!/usr/bin/env bash
# An upstream that left gets no new work after any process restarts, alone and
# in series, with a control VM's disk lost meanwhile.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 5 || abort "no engine"
deployment_engine engine-1 --failure_domain b --token_ms 5 || abort "no engine"
start_ready 2

# Sends requests at every entry and checks that none reaches the upstream that
# left, which still runs and announces itself as leaving.
nothing_new() {  # TEXT
  local i n
  for i in 0 1 2; do deployment_until 20 deployment_entry_ready $i || abort "entry-$i is not ready"; done
  for n in $(seq 12); do chat $((n % 3)) "$PORT_KEY" gate true 2 "$n" >"$WORK/answer"; done
  check "$1" equal "$(engine_stat engine-1 accepted)" "$before"
  check "and requests are answered" whole_stream "$WORK/answer"
}

fault engine-1 '{"drain":true}'
sleep 3
before=$(engine_stat engine-1 accepted)
nothing_new "the upstream that left gets no new work"

echo "-- each entry crashes and starts again"
for i in 0 1 2; do
  restart_entry $i
  nothing_new "nothing new after entry-$i restarted"
done

echo "-- all entries crash at once"
for i in 0 1 2; do crash "entry-$i"; done
for i in 0 1 2; do deployment_start_entry $i; done
nothing_new "nothing new after all entries restarted"

echo "-- a control VM loses its disk, then all processes crash"
crash control-1
rm -rf "$DIR/control-1-data"
for i in 0 2; do crash "control-$i"; done
for i in 0 1 2; do crash "entry-$i"; done
for i in 0 1 2; do deployment_start_control $i; deployment_start_entry $i; done
nothing_new "nothing new after all processes restarted"

echo "-- it is gone, and a new instance takes its place"
crash engine-1
for i in 0 1 2; do restart_entry $i; done
deployment_engine engine-2 --failure_domain b --token_ms 5 || abort "no engine"
for i in 0 1 2; do check "entry-$i knows the two that are left" deployment_until 20 deployment_entry_ready $i 2; done
finish
