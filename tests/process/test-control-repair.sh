#!/usr/bin/env bash
# A data folder is lost and the VM repaired; then another VM is lost at once.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
controls_configure; controls_start
deployment_until 20 leader_ready || fail "no leader"
for v in $(seq 20); do
  write_config "$DIR/c.toml" "$v"
  ctl config apply "$DIR/c.toml" --expect $((v - 1)) --wait 0 >"$DIR/answer"
  [ $? -eq 3 ] || fail "change $v: $(cat "$DIR/answer")"
done
lost=1
lost_endpoint="127.0.0.1:$((BASE + 40 + lost))"
lost_id=$(ctl voter list | grep -B1 "$lost_endpoint" | head -1)
kill_hard control-$lost
rm -rf "$DIR/control-$lost-data"
deployment_start_control $lost
sleep 2
ctl voter list | grep -q "$lost_id" || fail "the lost voter vanished by itself"
[ "$(ctl voter list | grep -c ' silent ')" = 1 ] || fail "the emptied folder acts as the old voter"
start=$(millis)
ctl voter repair "$lost_id" --endpoint "$lost_endpoint" --wait 30 >"$DIR/answer" ||
  fail "repair: $(cat "$DIR/answer")"
echo "repair complete after $(($(millis) - start)) ms"
victim=$(leader)
[ "$victim" = $lost ] && victim=0
kill_hard control-$victim
deployment_until 15 leader_ready || fail "no leader after the second loss"
[ "$(version)" = 20 ] || fail "version $(version), not 20"
ctl config show | cmp - "$DIR/c.toml" || fail "another configuration"
write_config "$DIR/c.toml" 21
ctl config apply "$DIR/c.toml" --expect 20 --wait 0 >"$DIR/answer"
[ $? -eq 3 ] || fail "no change after the second loss"
ctl voter list | grep -q "$lost_id" && fail "the lost voter is still a member"
echo passed
