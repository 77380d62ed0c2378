#!/usr/bin/env bash
# Guards against a control group that ends as replaced control VMs end together.
cd "$(dirname "$0")/../.." || exit 1
LOGS=${LOGS:-$(mktemp -d /tmp/turnover-XXXXXX)}
WORK=turnover LOGS=$LOGS/stopped JOBS=2 bash scripts/lost 2 5 &&
  WORK=turnover-kill LOGS=$LOGS/killed JOBS=2 bash scripts/lost 1 4
