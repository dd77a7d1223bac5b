#!/usr/bin/env bash
# Installs the pinned tools that CI needs into bin/tools, if they aren't there.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOBIN=$PWD/bin/tools GOFLAGS=-mod=mod GOWORK=off
mkdir -p "$GOBIN"
install() { # program module version
  if [ "$(cat "$GOBIN/$1.version" 2>/dev/null)" != "$3" ]; then
    (cd / && go install "$2@$3")
    echo "$3" >"$GOBIN/$1.version"
  fi
}
install golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint v2.15.0
install protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go v1.36.12
install protoc-gen-twirp github.com/twitchtv/twirp/protoc-gen-twirp v8.1.3+incompatible
if ! command -v protoc >/dev/null; then
  (apt-get update -qq && apt-get install -y -qq protobuf-compiler) >/dev/null
fi
