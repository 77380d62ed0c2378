#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0
# leaves the disruption out, COMPARE=1 has the old machines stop 2 s apart. Needs
# the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/rattanward-platform target/review-3/planned-turnover; do
  [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
apart=()
[ "${COMPARE:-0}" = 1 ] && apart=(apart)
timeout -k 2 118 target/review-3/planned-turnover target/rattanward-platform \
  "review/11/record.txt" "${TROUBLE:-1}" "${apart[@]}"
code=$?
[ "$code" -le 1 ] || code=2
tail -n 3 "review/11/record.txt"
exit "$code"
