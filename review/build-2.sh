#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start: their callers, endpoints and
# the platform's store. The entry process comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
    if [ -f "review/$case/main.go" ]; then
        go build -o "bin/review-$case" "./review/$case"
    fi
done
