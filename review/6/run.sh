#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. SAME=1 plays a booking that is made again in
# place of reads.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/second_answer
[ "${SAME:-0}" = 1 ] && program=target/review-2/same_booking
[ -x target/rattanward-platform ] && [ -x "$program" ] || exit 2
timeout -k 2 115 "$program" review/6/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
