#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
program=review/standins/target/release/review-standins
[ -x "$program" ] && [ -x target/release/rw-platform-entry ] || { echo "not built" >&2; exit 2; }
exec "$program" slow-clock "$folder/record.txt"
