#!/usr/bin/env bash
# A leader frozen for 20 s and woken: no stale accept, no stale read.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
controls_configure; controls_start; entries_start
deployment_until 20 leader_ready || fail "no leader"
deployment_until 10 entries_known || fail "entries are not known"
write_config "$DIR/1.toml" 1; write_config "$DIR/2.toml" 2; write_config "$DIR/stale.toml" 99
deployment_until 5 ctl config apply "$DIR/1.toml" --expect 0 --command_id one >"$DIR/answer" || fail "version 1"
old=$(leader)
kill -STOP "${PID[control-$old]}"
frozen=$(millis)
deployment_until 10 ctl config apply "$DIR/2.toml" --expect 1 --command_id two >"$DIR/answer" ||
  fail "version 2 is not accepted while the old leader is frozen"
echo "version 2 accepted $(($(millis) - frozen)) ms after the freeze"
# These calls wait in the frozen leader's sockets, and it meets them on waking.
ctl_at "$old" config apply "$DIR/stale.toml" --expect 1 --wait 0 --timeout 30 >"$DIR/stale-apply" &
stale_apply=$!
ctl_at "$old" config show --timeout 30 >"$DIR/stale-show" &
stale_show=$!
sleep $((20 - ($(millis) - frozen) / 1000))
kill -CONT "${PID[control-$old]}"
wait $stale_apply; code=$?
[ $code -ne 0 ] && [ $code -ne 3 ] || fail "the woken leader committed over version 2"
wait $stale_show; code=$?
[ $code -ne 0 ] || cmp -s "$DIR/stale-show" "$DIR/2.toml" || fail "the woken leader showed an old version"
deployment_until 10 ctl_at "$old" config show >"$DIR/show" || fail "the woken VM does not answer"
cmp "$DIR/show" "$DIR/2.toml" || fail "the woken VM shows another version"
[ "$(version)" = 2 ] || fail "version $(version), not 2"
echo passed
