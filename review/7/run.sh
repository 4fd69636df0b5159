#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/release/cumincart-platform
case=target/review-2/case-7
[ -x "$program" ] && [ -x "$case" ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
timeout -k 2 110 "$case" "$program" review/7/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
