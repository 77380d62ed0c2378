#!/usr/bin/env bash
# Everything restarts after 600 changes: time and disk are bounded.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
CHANGES=600
MAX_RESTART_MS=5000
MAX_DISK_KB=1024
controls_configure; controls_start
deployment_until 20 leader_ready || fail "no leader"
start=$(millis)
for v in $(seq $CHANGES); do
  write_config "$DIR/c.toml" "$v"
  ctl config apply "$DIR/c.toml" --expect $((v - 1)) --wait 0 >"$DIR/answer"
  [ $? -eq 3 ] || fail "change $v: $(cat "$DIR/answer")"
done
echo "$CHANGES changes in $(($(millis) - start)) ms"
for i in 0 1 2; do kill -KILL "${PID[control-$i]}"; done
for i in 0 1 2; do wait "${PID[control-$i]}" 2>/dev/null; done
disk=$(du -sk "$DIR"/control-*-data | awk '{ if ($1 > most) most = $1 } END { print most }')
start=$(millis)
controls_start
deployment_until 20 leader_ready || fail "no leader after the restart"
took=$(($(millis) - start))
echo "restart in $took ms; $disk KB on the fullest disk"
[ "$(version)" = $CHANGES ] || fail "version $(version), not $CHANGES"
ctl config show | cmp - "$DIR/c.toml" || fail "another configuration"
[ "$took" -le $MAX_RESTART_MS ] || fail "restart took longer than $MAX_RESTART_MS ms"
[ "$disk" -le $MAX_DISK_KB ] || fail "more than $MAX_DISK_KB KB on disk"
echo passed
