#!/usr/bin/env bash
# Upstreams that announce themselves to a single entry: the others learn of them,
# of their draining and of their end by gossip. An entry is frozen meanwhile.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
ONE="127.0.0.1:$((BASE + 20))"
deployment_engine engine-0 --failure_domain a --token_ms 5 --entries "$ONE" || abort "no engine"
deployment_engine engine-1 --failure_domain b --token_ms 5 --entries "$ONE" || abort "no engine"
start_ready 2
check "every entry knows both" deployment_ready 2

echo "-- one drains"
fault engine-1 '{"drain":true}'
sleep 3
before=$(engine_stat engine-1 accepted)
for i in $(seq 12); do
  chat $((i % 3)) "$PORT_KEY" gate true 2 drain >"$WORK/drain-$i"
  check "request $i is answered" whole_stream "$WORK/drain-$i"
done
check "the draining one gets no new work, at any entry" equal "$(engine_stat engine-1 accepted)" "$before"

echo "-- an entry is frozen, and a change is made meanwhile"
deployment_signal STOP entry-1
sleep 4
{ echo "# change"; cat examples/local.toml; } >"$WORK/change.toml"
deployment_ctl config apply "$WORK/change.toml" --expect 1 --wait 5 >"$WORK/answer"
check "it is pending in the frozen entry's domain" grep -q '^pending in: b$' "$WORK/answer"
deployment_signal CONT entry-1
check "it is accepted after the entry woke" deployment_until 10 deployment_ctl config status
chat 1 "$PORT_KEY" gate true 3 woken >"$WORK/woken"
check "the woken entry serves" whole_stream "$WORK/woken"

echo "-- the upstream ends without a word"
deployment_signal KILL engine-0
for i in 0 1 2; do
  check "entry-$i forgets it" deployment_until 8 deployment_entry_ready $i 1
done
finish
