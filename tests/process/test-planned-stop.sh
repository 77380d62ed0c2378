#!/usr/bin/env bash
# An entry that is told to stop ends in its declared time, and each request that it
# has read gets a whole answer or a true error.
. "$(dirname "$0")/common.sh"
STOP_S=9  # shutdown_limit_ms, if it isn't set
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --capacity 8 --token_ms 50 || abort "no engine"
deployment_service service-0 --failure_domain b --delay_ms 15000 || abort "no service"
start_ready 2

ask() {  # NAME CLASS STREAM TOKENS: at entry-0; NAME has the answer, NAME.code curl's code
  chat 0 "$PORT_KEY" "$2" "$3" "$4" "$1" -D "$WORK/$1.head" -o "$WORK/$1"
  echo $? >"$WORK/$1.code"
}
call() {  # ENTRY NAME: a call that may run once
  curl -s -m 40 -o "$WORK/$2" -D "$WORK/$2.head" -H "Authorization: Bearer $PORT_KEY" \
    -H "Idempotency-Key: once" -d '{"plug":1}' "${URL[entry-$1]}/services/plugs/assign"
  echo $? >"$WORK/$2.code"
}
verdict() { sed -n 's/^x-rattanward-verdict: \([a-z-]*\).*/\1/Ip' "$WORK/$1.head"; }  # NAME
status() { sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p' "$WORK/$1.head" | tail -n 1; }  # NAME
answered() {  # NAME: whole, or an error of which nothing is missing
  equal "$(cat "$WORK/$1.code")" 0 || return 1
  grep -q '^data: \[DONE\]\|"object":"chat.completion"\|"error":{.*}$' "$WORK/$1"
}
says_true() {  # NAME: whoever has not run is told so with 503 and a Retry-After
  [ "$(verdict "$1")" != not-run ] && return 0
  equal "$(status "$1")" 503 && grep -qi '^retry-after' "$WORK/$1.head"
}
gone() { ! kill -0 "$1" 2>/dev/null; }
logged() { grep -cE "\"event\":($1)," "$DIR/entry-0.log"; }  # EVENT|EVENT...

echo "-- a full queue, streams longer than the stopping time, a call that may run once"
names=(long once whole)
ask long summary true 400 &
ask whole summary false 400 &
call 0 once &
sleep 0.3
for i in $(seq 22); do names+=("low-$i"); ask "low-$i" summary true 100 & done
sleep 1
old=${PID[entry-0]}
began=$(date +%s%3N)
deployment_signal TERM entry-0
(sleep 0.5; deployment_signal HUP entry-0; sleep 0.5; deployment_signal TERM entry-0) 2>/dev/null &
for i in $(seq 6); do names+=("late-$i"); ask "late-$i" gate true 5 & sleep 0.04; done
deployment_until $((STOP_S + 1)) gone "$old"
took=$(($(date +%s%3N) - began))
check "the entry ends in its stopping time" at_most "$took" $((STOP_S * 1000 + 500))
kill -KILL "$old" 2>/dev/null  # As a process manager does.
deployment_until 20 bash -c "[ \$(ls $WORK/*.code | wc -l) -ge ${#names[@]} ]"
for name in "${names[@]}"; do
  check "$name has an answer" answered "$name"
  check "$name is told the truth about it" says_true "$name"
done
check "a stream that was cut says so" grep -q '^data: {"error"' "$WORK/long"
check "and what had begun isn't called not run" equal "$(verdict whole)" ran
call 1 again
check "the call is told that it may have run" equal "$(verdict once)" "may-have-run"
check "and does not run again at another entry" equal "$(curl -s "${URL[service-0]}/runs" | json once)" 1
check "each request's end is in the log" equal "$(logged '2004|2005|2006|2007|2009|2016')" "$(logged 2001)"
check "with a line for each that the stop ended" at_least "$(logged 2016)" 3
check "the process ends in order" grep -q process-stopped "$DIR/entry-0.log"
finish
