#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in unframed_stream route_change; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/platform/test/standins.cpp "review/platform/test/$name.cpp" \
    -o "target/review/$name"
done
