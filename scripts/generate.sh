#!/usr/bin/env bash
# Regenerates pkg/wire from wire.proto.
# Needs protoc, protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3+incompatible on the PATH.
set -euo pipefail
cd "$(dirname "$0")/../pkg/wire"
protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative wire.proto
