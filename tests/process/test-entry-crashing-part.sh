#!/usr/bin/env bash
# Requests that differ, but share a message that crashes each engine that runs them:
# at most three engines die, and requests without that message are served.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
ENGINES=7
for i in $(seq 0 $((ENGINES - 1))); do
  deployment_engine "engine-$i" --failure_domain "${DOMAINS[$((i % 3))]}" --poison DEADLY || abort "no engine"
done
start_ready "$ENGINES"
conversation() {  # ENTRY SYSTEM USER: a request with two messages
  curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $PORT_KEY" -H "X-Request-Class: gate" \
    -d "{\"model\":\"small\",\"max_tokens\":3,\"messages\":[{\"role\":\"system\",\"content\":\"$2\"},{\"role\":\"user\",\"content\":\"$3\"}]}" \
    "${URL[entry-$1]}/v1/chat/completions"
}
for round in 1 2 3; do
  for entry in 0 1 2; do
    conversation $entry "be brief" "sound $round $entry" >"$WORK/sound-$round-$entry"
    conversation $entry "a DEADLY document" "question $round $entry" >>"$WORK/statuses"
    echo >>"$WORK/statuses"
    sleep 0.3
  done
done
dead=0
for i in $(seq 0 $((ENGINES - 1))); do kill -0 "${PID[engine-$i]}" 2>/dev/null || dead=$((dead + 1)); done
check "at most three engines died" at_most "$dead" 3
check "at least one did" [ "$dead" -ge 1 ]
check "the last answer is final and not retried" equal "$(tail -n 1 "$WORK/statuses")" 422
check "another question with that document neither" equal "$(conversation 1 'a DEADLY document' 'new')" 422
check "a sound request is served" equal "$(conversation 2 'be brief' 'sound')" 200
finish
