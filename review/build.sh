#!/bin/sh
# Builds the stand-ins that the scripts start, into target/.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/kit"
GOWORK=off GOFLAGS=-mod=mod go build -o "$root/target/review-kit" .
