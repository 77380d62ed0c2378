#!/usr/bin/env bash
# An entry killed in mid-request; graceful shutdown under open streams.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 20 || abort "no engine"
start_ready 1

echo "-- SIGTERM under open streams"
callers=()
for i in 1 2 3 4; do
  chat 1 "$PORT_KEY" gate true 100 "stream $i" >"$WORK/term-$i" & callers+=($!)
done
sleep 0.6
deployment_signal TERM entry-1
sleep 0.6
check "readiness fails" bash -c "! curl -sf -m 2 -o /dev/null ${URL[entry-1]}/health/ready"
chat 1 "$PORT_KEY" gate false 1 late -D "$WORK/late" >"$WORK/late.body"
check "new work is refused as not run" grep -qi 'X-Rattanward-Verdict: not-run' "$WORK/late"
wait "${callers[@]}"
for i in 1 2 3 4; do
  check "stream $i ends whole" whole_stream "$WORK/term-$i"
  check "stream $i has every token" equal "$(tokens_in "$WORK/term-$i")" 100
done
deployment_until 5 bash -c "! kill -0 ${PID[entry-1]} 2>/dev/null"
check "the entry has exited" bash -c "! kill -0 ${PID[entry-1]} 2>/dev/null"

echo "-- an entry is killed in mid-request"
chat 0 "$PORT_KEY" gate true 400 killed >"$WORK/killed" & caller=$!
sleep 0.6
deployment_signal KILL entry-0
wait "$caller"
check "the caller sees no end marker" bash -c "! grep -q '\[DONE\]' '$WORK/killed'"
chat 2 "$PORT_KEY" gate true 3 next >"$WORK/next"
check "the other entry serves" whole_stream "$WORK/next"
check "the engine frees the place" deployment_until 6 bash -c \
  "curl -s ${URL[engine-0]}/stats | grep -q '\"running\":0'"
finish
