# Three control processes and stand-in entries on loopback, for test-control-*.sh.
# To be sourced. Needs a built tree.
cd "$(dirname "$0")/../.."
. scripts/deployment.sh
DIR=$(mktemp -d) BASE=$(deployment_free_base)
CONTROL_OPERATORS="127.0.0.1:$((BASE + 50)),127.0.0.1:$((BASE + 51)),127.0.0.1:$((BASE + 52))"
CONTROL_PEERS="127.0.0.1:$((BASE + 40)),127.0.0.1:$((BASE + 41)),127.0.0.1:$((BASE + 42))"
finish() { deployment_stop; rm -rf "$DIR"; }
trap finish EXIT
fail() { echo "FAILED: $1"; tail -n 3 "$DIR"/*.out; exit 1; }
ctl() { deployment_ctl "$@" 2>/dev/null; }
ctl_at() { local i=$1; shift; "$BIN/rattanctl" --control "127.0.0.1:$((BASE + 50 + i))" --token "$OPERATOR_TOKEN" "$@" 2>/dev/null; }
millis() { echo $(($(date +%s%N) / 1000000)); }
controls_start() { local i; for i in 0 1 2; do deployment_start_control $i; done; }
controls_configure() { local i; for i in 0 1 2; do deployment_control_settings $i; done; }
entries_start() {  # three stand-ins in each failure domain
  local d
  for d in a b c; do
    deployment_spawn "entries-$d" "$BIN/rattanward-fake-entry" --control "$CONTROL_PEERS" \
      --secret "$SHARED_SECRET" --process "entry-$d" --failure_domain $d --count 3
  done
}
leader_ready() { ctl --timeout 1 status >"$DIR/status"; }
leader() { ctl status | sed -n 's/^leader *control-//p'; }  # index of the leader
version() { ctl status | sed -n 's/^config *//p'; }
entries_known() { [ "$(ctl status | sed -n 's/^entries *//p')" = 9 ]; }
write_config() {  # FILE NUMBER: a valid configuration that differs by number
  { echo "# change $2"; cat examples/enchufe-frio.toml; } >"$1"
}
kill_hard() { kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2>/dev/null; unset "PID[$1]"; }
