#!/usr/bin/env bash
# Formats every C++ source; with --check, only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[[ "${1:-}" == "--check" ]] && mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
  grep -v ^generated/ | xargs -r clang-format "${mode[@]}"
