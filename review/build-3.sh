#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3/. Run from
# anywhere, after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in control_turnover foreign_heartbeat planned_turnover poison; do
  [ -f "review/standin-3/$name.cc" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-3/${name//_/-}" "review/standin-3/$name.cc"
done
