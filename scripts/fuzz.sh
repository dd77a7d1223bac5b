#!/usr/bin/env bash
# Runs each fuzz target, of the decoders, of what instances tell each other and of the parser of requests, with a
# number of inputs; a fixed one, so that the verdict does not depend on the machine's
# speed. By hand: scripts/fuzz.sh 5000000
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
for folder in platform pkg/disseminator pkg/framer; do
  for target in $(cd $folder && go test -list '^Fuzz' . | grep '^Fuzz'); do
    (cd $folder && go test -run '^$' -fuzz "^$target\$" -fuzztime "${inputs}x" -parallel 3 .)
  done
done
