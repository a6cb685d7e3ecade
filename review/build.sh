#!/usr/bin/env bash
# Builds the programs of the scripts in review/N/ into review/bin/. Needs only packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
pids=()
for source in [1-5]/*.cc; do
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -Istandin "$source" -o "bin/$(basename "$source" .cc)" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
