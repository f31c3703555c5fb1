#!/usr/bin/env bash
# Regenerates the committed Protocol Buffers sources of the inner protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=src/pomeloswitch/wire
protoc --proto_path="$dir" --cpp_out=generated/pomeloswitch_wire "$dir/inner.proto"
