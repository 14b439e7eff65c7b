#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review
test -x "$program" && test -x target/release/baobabrelay-platform || exit 2
exec "$program" route-name "$PWD" review/2/record.txt "${TROUBLE:-1}"
