#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs the packages of
# the deploy file only; the project's own programs are built by its build line.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread)
pids=()
for source in review/harness/*.cpp review/*/case.cpp; do
  object=$out/$(echo "${source#review/}" | tr / -).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for folder in review/[0-9]; do
  [[ -f $folder/case.cpp ]] || continue
  number=${folder#review/}
  g++ -pthread -o "$out/case-$number" "$out/$number-case.cpp.o" \
    "$out"/harness-*.o -lboost_json
done
