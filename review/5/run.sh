#!/bin/sh
# The coordinator is cut off from the store for half a second, then a server's entry is removed.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/trefoild ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/stand relayed-entry review/5/record.txt
