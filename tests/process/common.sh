# Shared by the process tests: a deployment that is stopped at exit, and checks.
# To be sourced from the root of the checkout.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
DEPLOYMENT_RELAYS=1
. scripts/deployment.sh
WORK=$(mktemp -d)
trap 'deployment_stop; [ -n "${KEEP_LOGS:-}" ] && echo "logs: $WORK" || rm -rf "$WORK"' EXIT
FAILURES=0

check() {  # TEXT COMMAND...: counts a failure if the command fails
  local text=$1; shift
  if "$@"; then echo "ok: $text"; else echo "FAILED: $text"; FAILURES=$((FAILURES + 1)); fi
}
finish() {
  [ "$FAILURES" -eq 0 ] || tail -n 3 "$DIR"/*.out
  exit "$((FAILURES > 0))"
}
abort() { echo "FAILED: $1"; tail -n 5 "$DIR"/*.out "$DIR"/*.log; exit 1; }
equal() { [ "$1" = "$2" ] || { echo "  saw \"$1\", expected \"$2\""; return 1; }; }
at_least() { [ "$1" -ge "$2" ] || { echo "  saw $1, expected at least $2"; return 1; }; }
at_most() { [ "$1" -le "$2" ] || { echo "  saw $1, expected at most $2"; return 1; }; }

start_ready() {  # UPSTREAMS: applies the local configuration and waits
  deployment_until 30 deployment_ctl status >/dev/null 2>&1 || abort "control is not ready"
  deployment_ctl config apply examples/local.toml --expect 0 --wait 10 || abort "apply failed"
  deployment_ready "$1" || abort "entries are not ready"
}
crash() { deployment_signal KILL "$1"; wait "${PID[$1]}" 2>/dev/null; unset "PID[$1]"; }  # NAME
restart_entry() { crash "entry-$1"; deployment_start_entry "$1"; }  # INDEX
json() { sed -n "s/.*\"$1\":\"\{0,1\}\([^,}\"]*\).*/\1/p"; }  # KEY: of one flat object
engine_stat() { curl -s -m 5 "${URL[$1]}/stats" | json "$2"; }
fault() { curl -s -m 5 -o /dev/null -d "$2" "${URL[$1]}/fault"; }
ask_all() {  # NAME COUNT: requests over all entries, each answered whole
  local i
  for i in $(seq "$2"); do
    chat $((i % 3)) "$PORT_KEY" gate true 2 "$1" >"$WORK/$1-$i"
    check "$1 request $i is answered" whole_stream "$WORK/$1-$i"
  done
}
tokens_in() { grep -c '"content":"' "$1"; }
whole_stream() { grep -q '^data: \[DONE\]' "$1"; }
