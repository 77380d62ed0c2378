#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the kill out; the request crashes runners all the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanward-platform ] && [ -x target/review-2/forgotten ] || exit 2
timeout -k 2 115 target/review-2/forgotten review/10/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
