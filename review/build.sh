#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for unit in http executor deployment; do
    g++ -std=c++20 -O1 -Wall -Ireview/support -c "review/support/$unit.cpp" -o "target/review/$unit.o" &
    units+=("$!")
done
for unit in "${units[@]}"; do wait "$unit"; done
for source in review/cases/*.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++20 -O1 -Wall -Ireview/support "$source" target/review/{http,executor,deployment}.o -o "target/review/$name" -pthread
done
