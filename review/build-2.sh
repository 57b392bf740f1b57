#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/. Needs only the packages
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread "$1" -o "$2"; }
compile review/support-2/executor.cpp "$out/executor" &
jobs=($!)
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    compile "$source" "$out/case-$number" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
