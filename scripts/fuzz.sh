#!/usr/bin/env bash
# Runs each fuzz target of the decoders with a number of inputs; a fixed one, so that the
# verdict does not depend on the machine's speed. By hand: scripts/fuzz.sh 5000000
set -euo pipefail
cd "$(dirname "$0")/../platform"
inputs=${1:-20000}
for target in $(go test -list '^Fuzz' . | grep '^Fuzz'); do
  go test -run '^$' -fuzz "^$target\$" -fuzztime "${inputs}x" -parallel 3 .
done
