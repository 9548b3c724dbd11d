#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/catkinmast-front target/release/catkinmast-standby target/review/review-case; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/review-case stream review/3/record.txt
