#!/usr/bin/env bash
# Runs the case and writes record.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cumincart-platform target/review/standin; do
    [ -x "$program" ] || { echo "$program is missing; run the build of the deploy file and review/build.sh"; exit 2; }
done
exec target/review/standin foreign-report review/4/record.txt
