#!/bin/sh
# A request that crashes servers silently, as with a crash of their hosts, is never quarantined. 72 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Build the deploy file and review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/hyssopcourse-platform target/review-2/release/standin-2; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2/release/standin-2 dark review/7/record.txt
