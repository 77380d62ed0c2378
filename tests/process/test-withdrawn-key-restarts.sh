#!/usr/bin/env bash
# A key that was withdrawn is not accepted again after any process restarts,
# alone and in series, with a disk kept and with one lost.
. "$(dirname "$0")/common.sh"
deployment_start "$WORK/run"
deployment_engine engine-0 --failure_domain a --token_ms 5 || abort "no engine"
start_ready 1

status_of() { chat "$1" "$TUUL_KEY" gate false 2 hello -o /dev/null -w '%{http_code}'; }
denied() { [ "$(status_of "$1")" = 401 ]; }
# Calls the entry until it denies the key; no call may be accepted before.
never_accepted() {  # ENTRY
  local end=$((SECONDS + 30)) status
  while [ "$SECONDS" -lt "$end" ]; do
    status=$(status_of "$1")
    case "$status" in
      401) return 0 ;;
      2*) echo "  entry-$1 accepted the key"; return 1 ;;
    esac
    sleep 0.05
  done
  echo "  entry-$1 still answers $status"; return 1
}

check "the key is accepted while it is declared" equal "$(status_of 1)" 200
# Paragraph mode: drops the table of that account.
awk 'BEGIN { RS = ""; ORS = "\n\n" } !/id = "tuul"/' examples/local.toml >"$WORK/without.toml"
deployment_ctl config apply "$WORK/without.toml" --expect 1 --wait 10 || abort "apply failed"
for i in 0 1 2; do check "entry-$i denies the withdrawn key" denied $i; done

echo "-- each entry crashes and starts again"
for i in 0 1 2; do
  restart_entry $i
  check "entry-$i does not accept the key again" never_accepted $i
done

echo "-- every process crashes, and control comes back last"
for i in 0 1 2; do crash "control-$i"; done
for i in 0 1 2; do restart_entry $i; done
for try in $(seq 10); do
  for i in 0 1 2; do
    case "$(status_of $i)" in 2*) check "entry-$i accepted the key without control" false ;; esac
  done
done
for i in 0 1 2; do deployment_start_control $i; done
for i in 0 1 2; do check "entry-$i does not accept the key" never_accepted $i; done

echo "-- a control VM loses its disk, is repaired, and another crashes"
lost_endpoint="127.0.0.1:$((BASE + 41))"
lost_id=$(deployment_ctl voter list | grep -B1 "$lost_endpoint" | head -1)
crash control-1
rm -rf "$DIR/control-1-data"
deployment_start_control 1
deployment_until 30 deployment_ctl voter repair "$lost_id" --endpoint "$lost_endpoint" --wait 20 \
  >"$WORK/answer" 2>&1 || abort "repair: $(cat "$WORK/answer")"
crash control-0
for i in 0 1 2; do restart_entry $i; done
for i in 0 1 2; do check "entry-$i does not accept the key" never_accepted $i; done
declared_key_accepted() { chat 2 "$PORT_KEY" gate true 2 >"$WORK/declared"; whole_stream "$WORK/declared"; }
check "a key that is declared is accepted" deployment_until 20 declared_key_accepted
finish
