#!/usr/bin/env bash
# A burst of one low class, five times the capacity, with the top tier mixed in:
# no top-tier request is refused, and the low class moves.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --capacity 6 || abort "no engine"
deployment_engine engine-1 --failure_domain b --capacity 6 || abort "no engine"
start_ready 2
callers=()
for i in $(seq 60); do
  chat $((i % 3)) "$TUUL_KEY" summary false 60 "low $i" -o /dev/null -w '%{http_code}\n' >>"$WORK/low" & callers+=($!)
done
sleep 0.2
for i in $(seq 12); do
  chat $((i % 3)) "$PORT_KEY" gate false 5 "top $i" -o /dev/null -w '%{http_code}\n' >>"$WORK/top" & callers+=($!)
done
wait "${callers[@]}"
check "every top-tier request is answered" equal "$(grep -c 200 "$WORK/top")" 12
check "the low class moves" bash -c "[ $(grep -c 200 "$WORK/low") -gt 0 ]"
finish
