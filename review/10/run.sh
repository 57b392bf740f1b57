#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
number=$(basename "$folder")
[ -x "target/review-2/case-$number" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "target/review-2/case-$number" "review/$number"
