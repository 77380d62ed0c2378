#!/usr/bin/env bash
# run-case.sh N NAME: plays one case with the stand-ins; see review/REPORT.md.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/rattanward-platform ] || [ ! -x target/review-standin ]; then
  echo "build first: the build command of deploy/system.toml, then review/build.sh"
  exit 2
fi
timeout -k 2 116 target/review-standin "$2" "review/$1/record.txt"
code=$?
tail -n 3 "review/$1/record.txt"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
