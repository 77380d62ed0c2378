#!/usr/bin/env bash
# Engines that say in their answers that they leave, or ask for no requests.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 5 || abort "no engine"
deployment_engine engine-1 --failure_domain b --token_ms 5 || abort "no engine"
start_ready 2

echo "-- an engine says in its answers that it leaves, and announces on"
fault engine-0 '{"leaving":true}'
ask_all leaving 12
check "it was asked before" [ "$(engine_stat engine-0 accepted)" -ge 1 ]
sleep 2
before=$(engine_stat engine-0 accepted)
ask_all left 12
check "it gets no new work, at any entry" equal "$(engine_stat engine-0 accepted)" "$before"

echo "-- a new instance at another address, and one that asks for back-off"
deployment_engine engine-2 --failure_domain a --token_ms 5 || abort "no engine"
deployment_ready 3 || deployment_ready 2 || abort "entries don't know the new engine"
sleep 1
fault engine-1 '{"backoff_s":30}'
ask_all backoff 24
check "it was asked" [ "$(engine_stat engine-1 turned_away)" -ge 1 ]
check "once by each entry at most" at_most "$(engine_stat engine-1 turned_away)" 3
finish
