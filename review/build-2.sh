#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs only the
# compiler of the deploy file's build; run it after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cc)" "$source"
done
