#!/usr/bin/env bash
# Engines that die, freeze, drain or whose connections go silent.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 20 || abort "no engine"
deployment_engine engine-1 --failure_domain b --token_ms 20 || abort "no engine"
start_ready 2

echo "-- a connection goes silent while new ones work"
chat 0 "$PORT_KEY" gate true 60 silent >"$WORK/silent" & caller=$!
sleep 0.5
fault engine-0 '{"mute":true}'; fault engine-1 '{"mute":true}'
wait "$caller"
check "the silent stream ends whole" whole_stream "$WORK/silent"
check "with every token once" equal "$(tokens_in "$WORK/silent")" 60
check "in order" equal "$(sed -n 's/.*:\([0-9]*\) ".*/\1/p' "$WORK/silent" | tr '\n' ' ')" "$(seq -s ' ' 60) "

echo "-- a stream breaks in the middle and is resumed"
fault engine-0 '{"break_after":10}'; fault engine-1 '{"break_after":10}'
chat 0 "$PORT_KEY" gate true 30 broken >"$WORK/broken" & caller=$!
sleep 0.4
fault engine-0 '{"break_after":0}'; fault engine-1 '{"break_after":0}'
wait "$caller"
check "the broken stream ends whole" whole_stream "$WORK/broken"
check "with every token once" equal "$(tokens_in "$WORK/broken")" 30

echo "-- a draining upstream gets no new work after 3 s, at any entry"
fault engine-1 '{"drain":true}'
sleep 3
before=$(engine_stat engine-1 accepted)
for i in $(seq 12); do chat $((i % 3)) "$PORT_KEY" gate false 2 drain >/dev/null; done
check "no new work" equal "$(engine_stat engine-1 accepted)" "$before"

echo "-- an engine is frozen and woken"
deployment_engine engine-2 --failure_domain c --token_ms 5 || abort "no engine"
deployment_until 10 deployment_entry_ready 0 3
deployment_signal STOP engine-0
chat 0 "$PORT_KEY" summary false 5 frozen -o "$WORK/frozen" -w '%{http_code}' >"$WORK/status"
check "an idempotent request is answered elsewhere" equal "$(cat "$WORK/status")" 200
deployment_signal CONT engine-0
deployment_until 10 deployment_entry_ready 0 3
chat 0 "$PORT_KEY" gate true 3 woken >"$WORK/woken"
check "the next answer is whole" whole_stream "$WORK/woken"

echo "-- an engine is killed in the middle of a stream"
deployment_signal KILL engine-2
chat 0 "$PORT_KEY" gate true 200 killed >"$WORK/killed" & caller=$!
sleep 0.7
deployment_signal KILL engine-0
wait "$caller"
check "the cut stream has no end marker" bash -c "! grep -q '\[DONE\]' '$WORK/killed'"
check "its last event is an error" grep -q '"error"' <(tail -n 2 "$WORK/killed")
check "the error says that it ran" grep -q '"verdict":"ran"' "$WORK/killed"
finish
