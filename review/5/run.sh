#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollenlatch ] && [ -x target/review-standin ] || { echo "build first: the build of the deploy file, then review/build.sh" >&2; exit 2; }
exec target/review-standin lost-leave review/5/record.txt
