#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonsail ] && [ -x target/review-standins2 ] || exit 2
exec target/review-standins2 flap review/9/record.txt
