#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pollenlatch ] && [ -x target/review2/standin2 ] || exit 2
exec target/review2/standin2 waiting-at-stop review/8
