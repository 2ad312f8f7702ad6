#!/bin/sh
# Builds the stand-ins of review/4 to review/8 into target/review-2; needs g++.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source"
done
