#!/usr/bin/env bash
# Builds the stand-ins and the driver of each script among the cases 6 to 10.
# The results lie under target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/{6,7,8,9,10}/*.cpp; do
  [[ -f "$source" ]] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread review/harness-2/*.cpp "$source" \
    -o "$out/case-$name" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
