#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt may fail:
# they run last, by themselves, and their failures are printed.
set -euo pipefail
cd "$(dirname "$0")"
packages="./bench/... ./cmd/... ./core/... ./examples/... ./instance/... ./platform/... ./wire/..."
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
if [ -z "$red" ]; then
  exec go test -race -count=1 -timeout 8m $packages
fi
go test -race -count=1 -timeout 8m -skip "^($red)\$" $packages
echo "known red, may fail: $red"
go test -race -count=1 -timeout 8m -run "^($red)\$" $packages || true
