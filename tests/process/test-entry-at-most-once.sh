#!/usr/bin/env bash
# A call that may run at most once, sent at once through all three entries.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_service service-0 --failure_domain a --delay_ms 150 || abort "no service"
deployment_service service-1 --failure_domain b --delay_ms 150 || abort "no service"
start_ready 2
call() {  # ENTRY KEY BODY OUT
  curl -s -m 20 -o "$4.body" -D "$4" -w '%{http_code}' -H "Authorization: Bearer $PORT_KEY" \
    -H "Idempotency-Key: $2" -d "$3" "${URL[entry-$1]}/services/plugs/assign" >"$4.status"
}
runs() {  # KEY: how often it ran, over both services
  local total=0 i n
  for i in 0 1; do
    n=$(curl -s -m 5 "${URL[service-$i]}/runs" | json "$1")
    total=$((total + ${n:-0}))
  done
  echo "$total"
}
for round in $(seq 5); do
  callers=()
  for entry in 0 1 2; do call $entry "key-$round" '{"plug":1}' "$WORK/c-$round-$entry" & callers+=($!); done
  wait "${callers[@]}"
  check "round $round ran once" equal "$(runs "key-$round")" 1
done
call 1 key-1 '{"plug":1}' "$WORK/again"
check "sent again, the stored answer comes back" equal "$(cat "$WORK/again.status")" 200
check "and it did not run again" equal "$(runs key-1)" 1
call 2 key-1 '{"plug":2}' "$WORK/other"
check "another body under the key is refused" equal "$(cat "$WORK/other.status")" 422
curl -s -m 5 -D "$WORK/nokey" -o /dev/null -H "Authorization: Bearer $PORT_KEY" -d '{}' \
  "${URL[entry-0]}/services/plugs/assign"
check "without a key it is refused as not run" grep -qi 'verdict: not-run' "$WORK/nokey"
echo "-- the service's answer is lost"
deployment_signal KILL service-0
call 0 key-lost '{"plug":3}' "$WORK/lost" & caller=$!
sleep 0.07
deployment_signal KILL service-1
wait "$caller"
check "the caller is told that it may have run" grep -qi 'verdict: may-have-run' "$WORK/lost"
deployment_service service-2 --failure_domain c || abort "no service"
deployment_until 10 bash -c "curl -s ${URL[entry-1]}/health/ready | grep -q '\"upstreams\":1'"
call 1 key-lost '{"plug":3}' "$WORK/lost2"
check "sent again, it does not run a second time" equal "$(runs_2=$(curl -s "${URL[service-2]}/runs" | json key-lost); echo "${runs_2:-0}")" 0
echo "-- no quorum"
deployment_signal KILL control-0; deployment_signal KILL control-1
sleep 2
call 0 key-noquorum '{"plug":4}' "$WORK/noquorum"
check "without a quorum it is not run" grep -qi 'verdict: not-run' "$WORK/noquorum"
check "and did not run" equal "$(n=$(curl -s "${URL[service-2]}/runs" | json key-noquorum); echo "${n:-0}")" 0
finish
