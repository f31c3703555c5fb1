#!/usr/bin/env bash
# Builds and runs every benchmark; prints one "name value unit" per line.
# BUILD_DIR (default build) selects the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >&2
"$build/benchmarks/proxy_bench"
"$build/benchmarks/control_group_bench"
"$build/benchmarks/control_slope_bench"
# Google Benchmark's CSV has the name in field 1, the CPU time in field 4
# and its unit in field 5.
for program in "$build"/benchmarks/*_benchmark; do
  [[ -x "$program" ]] || continue
  "$program" --benchmark_format=csv 2>/dev/null |
    awk -F, 'header { gsub(/"/, "", $1); print $1, $4, $5 }
             $1 == "name" { header = 1 }'
done
