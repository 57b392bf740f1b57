#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -o target/review-3-standin review/support-3/standin.cpp -lpthread
