#!/usr/bin/env bash
# Bad input gets a numbered error, runs nowhere, and costs others nothing.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a || abort "no engine"
start_ready 1
post() {  # EXPECTED_CODE BODY [CURL_FLAGS...]
  local expected=$1 body=$2; shift 2
  printf '%s' "$body" >"$WORK/body"
  curl -s -m 10 -D "$WORK/head" -o "$WORK/answer" "$@" --data-binary "@$WORK/body" "${URL[entry-0]}/v1/chat/completions"
  check "error $expected" grep -q "\"code\":$expected," "$WORK/answer"
  check "  not run" grep -qi 'X-Rattanward-Verdict: not-run' "$WORK/head"
}
AUTH=(-H "Authorization: Bearer $PORT_KEY")
GOOD='{"model":"small","messages":[{"role":"user","content":"x"}]}'
post 1001 '{"model":' "${AUTH[@]}"
post 1001 '[]' "${AUTH[@]}"
post 1001 '{"model":"small","messages":"x"}' "${AUTH[@]}"
post 1001 '{"model":"small","messages":[{}],"max_tokens":-1}' "${AUTH[@]}"
post 1004 '{"model":"huge","messages":[{"content":"x"}]}' "${AUTH[@]}"
post 1003 "$GOOD" "${AUTH[@]}" -H 'X-Request-Class: nobody'
post 1002 "$GOOD" -H 'Authorization: Bearer wrong-key'
post 1002 "$GOOD"
post 1006 "$(head -c 2000000 /dev/zero | tr '\0' x)" "${AUTH[@]}"
post 1012 "$GOOD" "${AUTH[@]}" -H "X-Request-Class: $(head -c 600 /dev/zero | tr '\0' x)"
curl -s -m 10 -o "$WORK/answer" "${URL[entry-0]}/nothing/here"
check "error 1011" grep -q '"code":1011,' "$WORK/answer"
curl -s -m 10 -o "$WORK/answer" "${AUTH[@]}" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' x)" "${URL[entry-0]}/v1/models"
check "huge headers get a numbered error" grep -q '"code":10' "$WORK/answer"
echo "-- half-sent requests and slow senders"
for i in $(seq 40); do
  exec {fd}<>"/dev/tcp/127.0.0.1/$((BASE + 10))"
  printf 'POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{' >&"$fd"
done
chat 0 "$PORT_KEY" gate true 3 hello >"$WORK/good"
check "others are served meanwhile" whole_stream "$WORK/good"
check "the engine ran only the good one" equal "$(engine_stat engine-0 accepted)" 1
finish
