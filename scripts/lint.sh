#!/usr/bin/env bash
# Runs the linter and checks the formatting of each module.
set -euo pipefail
cd "$(dirname "$0")/.."
lint=$PWD/bin/tools/golangci-lint
failed=0
for m in pkg platform gateway controller bronzectl standin bench proof; do
  [ -d "$m" ] || continue
  (cd "$m" && "$lint" run --config ../.golangci.yml ./...) || failed=1
done
exit $failed
