#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build-review/bin/review-3 ] && [ -x target/bin/agatevane-node ] || { echo "build first" >&2; exit 2; }
RECORD=review/3/record.txt TROUBLE="${TROUBLE:-1}" timeout -k 5 115 build-review/bin/review-3
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
