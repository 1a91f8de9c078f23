#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/skylarkrudder-mesh ] || {
    echo "build the deploy file, then review/build-2.sh"
    exit 2
}
exec target/review-2/review-2 twice "${RECORD:-review/6/record.txt}"
