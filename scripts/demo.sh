#!/usr/bin/env bash
# Installs the packages, builds, and demonstrates a deployment under faults.
# Options are passed to pomelo-demo (--json=FILE, --hold, --help). Exits
# non-zero if an expected outcome is not met. BUILD_DIR (default build) selects
# the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target pomelo-demo >&2
exec "$build/tools/pomelo-demo" --folder="$build/demo" "$@"
