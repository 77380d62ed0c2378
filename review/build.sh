#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. To be
# run after the build of deploy/system.toml; needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -pthread -o target/review-standin review/standin/*.cc
