#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# With the argument `jobs`, the state grows by 4,500 jobs in place of 300 changes of the configuration.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review/two_disks ] || [ ! -x target/eelgrassloft-platform ]; then
    echo "not run: build first"
    exit 2
fi
exec target/review/two_disks review/1 "${1:-changes}"
