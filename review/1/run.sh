#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build line of the deploy
# file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-1
[[ -x $program ]] || exit 2
timeout --kill-after=1 118 "$program" review/1/record.txt
code=$?
((code == 0 || code == 1)) && exit "$code"
exit 2
