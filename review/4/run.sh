#!/bin/sh
# An engine falls silent for 1.4 s and goes on, while the process of its callers stops.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/trefoild ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/stand silent-engine review/4/record.txt
