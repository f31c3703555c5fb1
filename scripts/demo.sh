#!/usr/bin/env bash
# Installs the packages, builds, and shows a deployment under faults; options
# go to pomelo-demo (--json=FILE, --hold, --help). Exits non-zero if a stated
# outcome is not met. BUILD_DIR (default build) chooses the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target pomelo-demo >&2
exec "$build/tools/pomelo-demo" --folder="$build/demo" "$@"
