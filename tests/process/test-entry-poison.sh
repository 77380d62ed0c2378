#!/usr/bin/env bash
# One request that crashes each engine that runs it, sent again through every
# entry: at most two engines die, and the caller gets a final answer.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
for i in 0 1 2 3 4; do
  deployment_engine "engine-$i" --failure_domain "${DOMAINS[$((i % 3))]}" --poison DEADLY || abort "no engine"
done
start_ready 5
for round in 1 2 3; do
  for entry in 0 1 2; do
    chat $entry "$PORT_KEY" summary false 3 "a DEADLY prompt" -w '\n%{http_code}\n' | tail -n 1 >>"$WORK/statuses"
  done
done
dead=0
for i in 0 1 2 3 4; do kill -0 "${PID[engine-$i]}" 2>/dev/null || dead=$((dead + 1)); done
check "at most two engines died" at_most "$dead" 2
check "the last answer is final and not retried" equal "$(tail -n 1 "$WORK/statuses")" 422
chat 0 "$PORT_KEY" gate true 3 "a good prompt" >"$WORK/good"
check "other requests are served" whole_stream "$WORK/good"
finish
