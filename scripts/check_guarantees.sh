#!/usr/bin/env bash
# Fails if docs/GUARANTEES.md names a test that ctest does not list.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
known=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
missing=0
while read -r name; do
  if ! grep -qF -- "$name" <<<"$known"; then
    echo "docs/GUARANTEES.md names a test that does not exist: $name" >&2
    missing=1
  fi
done < <(grep -oE '`[a-z_/]+\.[a-z0-9_]+`' docs/GUARANTEES.md | tr -d '`' |
  grep -v '/.*/' | sort -u | grep -vE '\.(md|sh|cpp|hpp|txt)$')
exit "$missing"
