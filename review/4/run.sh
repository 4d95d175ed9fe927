#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 the disruption is left out. Build the deploy file and run review/build.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cornelbayd ] && [ -x review/bin/cutreader ] || exit 2
exec review/bin/cutreader --record review/4/record.txt
