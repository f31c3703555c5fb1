#!/usr/bin/env bash
# Runs clang-tidy over every source of the compilation database in BUILD_DIR
# (default build); with file arguments, over just those sources.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
if (($#)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' | grep -v ^generated/)
fi
# Drops clang-tidy's count of warnings, which includes those suppressed in
# system headers, from standard error.
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" \
    2> >(grep -v 'warnings\? generated' >&2)
