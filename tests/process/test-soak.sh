#!/usr/bin/env bash
# A short fault soak with a fixed seed; regression seeds are added here, each with
# a line on its cause.
set -uo pipefail
cd "$(dirname "$0")/../.."
for seed in 1; do
  SEED=$seed SECONDS_LONG=20 bash scripts/soak || exit 1
done
