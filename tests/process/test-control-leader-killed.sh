#!/usr/bin/env bash
# Leaders die by SIGKILL under applies: each change is committed exactly once.
set -uo pipefail
. "$(dirname "$0")/control-lib.sh"
CHANGES=40
controls_configure; controls_start
deployment_until 20 leader_ready || fail "no leader"
apply() {  # VERSION: until it is known to be committed, under one command id
  write_config "$DIR/c.toml" "$1"
  local try code
  for try in $(seq 10); do
    ctl config apply "$DIR/c.toml" --expect $(($1 - 1)) --wait 0 --command_id "change-$1" >"$DIR/answer"
    code=$?
    [ $code -eq 3 ] && return 0
    [ $code -eq 5 ] || [ $code -eq 6 ] || fail "apply of version $1 gave exit code $code"
  done
  fail "version $1 was not committed"
}
for v in $(seq $CHANGES); do
  if [ $((v % 10)) -eq 5 ]; then
    victim=$(leader)
    [ -n "$victim" ] || fail "no leader before change $v"
    (sleep 0.03; kill -KILL "${PID[control-$victim]}") &
    killer=$!
    apply "$v"
    wait "$killer"; wait "${PID[control-$victim]}" 2>/dev/null
    deployment_start_control "$victim"
  else
    apply "$v"
  fi
done
[ "$(version)" = $CHANGES ] || fail "version $(version), not $CHANGES"
for v in $(seq $CHANGES); do echo "change-$v"; done >"$DIR/expected"
ctl config history | sed -n 's/^ *\(change-.*\)/\1/p' >"$DIR/history"
cmp "$DIR/expected" "$DIR/history" || fail "the history is not each change once, in order"
echo "passed: $CHANGES changes, 4 leaders killed"
