#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/foxtailedge ] && [ -x target/review-2/driver ] || exit 2
exec target/review-2/driver -case outage -record review/10/record.txt
