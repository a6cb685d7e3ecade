#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, into build/review-2/. They need a C++20
# compiler and nlohmann-json, which the deploy file declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/case-*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/$name"
done
