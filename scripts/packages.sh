#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
packages=(
  g++ cmake ninja-build ccache mold clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev libssl-dev libfmt-dev
  liblog4cxx-dev libdocopt-dev libvalijson-dev
  libjsonrpccpp-dev libjsoncpp-dev libprotobuf-dev protobuf-compiler
  libxxhash-dev libzstd-dev libgtest-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
