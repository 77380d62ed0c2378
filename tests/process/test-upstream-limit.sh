#!/usr/bin/env bash
# An engine that names a limit of requests a second, for all entries together.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 5 || abort "no engine"
deployment_engine engine-1 --failure_domain b --token_ms 5 || abort "no engine"
start_ready 2

allowed() {  # SECONDS SINCE THE START: requests that 1 a second lets through
  echo $((5 + 3 * ($(date +%s) - $1 + 1) / 2))
}

echo "-- an engine names a limit of one request a second"
fault engine-0 '{"limit_milli":1000}'
ask_all told 12
before=$(engine_stat engine-0 accepted) since=$(date +%s)
ask_all limited 60
check "it gets no more than it named, over all entries" \
  at_most $(($(engine_stat engine-0 accepted) - before)) "$(allowed "$since")"

echo "-- it no longer names one"
fault engine-0 '{"limit_milli":0}'
ask_all wait 60
sleep 7
ask_all lifted 60
before=$(engine_stat engine-0 accepted)
ask_all free 60
check "it is used again" at_least $(($(engine_stat engine-0 accepted) - before)) 10
finish
