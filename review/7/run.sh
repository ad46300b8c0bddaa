#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption, and the rule must hold; any other value is as none.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
target/review-2/release/stage-2 former-primary review/7/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
