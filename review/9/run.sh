#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonsail ] && [ -x target/review-standins2 ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  export TROUBLE=0
else
  export TROUBLE=1
fi
exec target/review-standins2 flap review/9/record.txt
