# Faults that the bench brings in while a scenario runs. To be sourced after
# scripts/deployment.sh.
FAULT_AT_S=8

bench_fault() {  # SCENARIO: waits, then brings the scenario's fault in
  case "$1" in
    straggler)
      sleep "$FAULT_AT_S"
      curl -sf -m 5 -o /dev/null -d '{"slow_percent":600}' "${URL[engine-0]}/fault" ;;
    engine-crash)
      sleep "$FAULT_AT_S"
      deployment_signal KILL engine-0 ;;
    entry-loss)
      sleep "$FAULT_AT_S"
      deployment_signal KILL entry-0 ;;
  esac
}
