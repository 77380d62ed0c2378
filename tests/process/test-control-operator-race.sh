#!/usr/bin/env bash
# Two operators apply over the same version from two control VMs; answers are
# thrown away and commands sent again: one winner per version, each command once.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
ROUNDS=25
controls_configure; controls_start
deployment_until 20 leader_ready || fail "no leader"
operator() {  # NAME FIRST_VM: writes "ROUND EXIT_CODE" of each command's last answer
  local round code
  for round in $(seq $ROUNDS); do
    write_config "$DIR/$1.toml" "$1-$round"
    ctl_at "$2" config apply "$DIR/$1.toml" --expect $((round - 1)) --wait 0 --command_id "$1-$round" >/dev/null
    ctl_at $((($2 + round) % 3)) config apply "$DIR/$1.toml" --expect $((round - 1)) --wait 0 \
      --command_id "$1-$round" >/dev/null
    code=$?
    echo "$round $code" >>"$DIR/$1.codes"
    # The next round starts only when this version is decided for both.
    until [ "$(ctl_at "$2" status | sed -n 's/^config *//p')" -ge "$round" ] 2>/dev/null; do sleep 0.02; done
  done
}
operator anna 0 & first=$!
operator bold 1 & second=$!
wait $first; wait $second
[ "$(version)" = $ROUNDS ] || fail "version $(version), not $ROUNDS"
for round in $(seq $ROUNDS); do
  codes="$(sed -n "s/^$round //p" "$DIR/anna.codes") $(sed -n "s/^$round //p" "$DIR/bold.codes")"
  [ "$codes" = "3 4" ] || [ "$codes" = "4 3" ] || fail "round $round: exit codes $codes, not one winner"
done
ctl config history | sed -n 's/^ *\(anna-.*\|bold-.*\)/\1/p' | sort | uniq -d | grep . && fail "a command was applied twice"
# All rounds were checked above; one operator may win every one of them.
echo "passed: $ROUNDS versions, won by the first operator: $(grep -c '3$' "$DIR/anna.codes")"
