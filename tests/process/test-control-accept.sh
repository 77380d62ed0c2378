#!/usr/bin/env bash
# A change is accepted only when every failure domain runs it, within 5 s.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
controls_configure; controls_start
deployment_until 20 leader_ready || fail "no leader"
write_config "$DIR/c.toml" 1
ctl config apply "$DIR/c.toml" --expect 0 --wait 0 >"$DIR/answer"
[ $? -eq 3 ] || fail "accepted without any entry"
entries_start
deployment_until 10 entries_known || fail "entries are not known"
deployment_until 10 ctl config status >"$DIR/answer" || fail "version 1 is not accepted"
start=$(millis)
write_config "$DIR/c.toml" 2
ctl config apply "$DIR/c.toml" --expect 1 --wait 10 || fail "version 2 is not accepted"
took=$(($(millis) - start))
echo "accepted in every domain after $took ms"
[ "$took" -le 5000 ] || fail "took longer than 5 s"
[ "$(cat "$DIR"/entries-*.out | grep -c 'runs 2')" = 9 ] || fail "not every entry runs 2"
kill -STOP "${PID[entries-b]}"
write_config "$DIR/c.toml" 3
ctl config apply "$DIR/c.toml" --expect 2 --wait 6 >"$DIR/answer"
[ $? -eq 3 ] || fail "accepted though a whole domain is silent"
grep -q '^pending in: b$' "$DIR/answer" || fail "the pending domain is not named: $(cat "$DIR/answer")"
kill -CONT "${PID[entries-b]}"
deployment_until 10 ctl config status >"$DIR/answer" || fail "version 3 is not accepted after the domain came back"
echo passed
