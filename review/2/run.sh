#!/bin/sh
# A stream that its caller has resumed breaks off after its route was moved.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/trefoild ] || { echo "build first: deploy/system.toml, review/build.sh"; exit 2; }
exec target/review/stand resumed-twice review/2/record.txt
