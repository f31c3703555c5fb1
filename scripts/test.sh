#!/usr/bin/env bash
# Builds everything and runs all tests. BUILD_DIR (default build) chooses the
# build folder; SANITIZE=ON builds with the address and undefined-behaviour
# sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DPOMELO_SANITIZE="${SANITIZE:-OFF}"
cmake --build "$build"
BUILD_DIR="$build" scripts/check_guarantees.sh
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-4}"
