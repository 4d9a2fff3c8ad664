#!/usr/bin/env bash
# Runs all tests with the race detector. Packages that run whole deployments go
# one after another, so that they don't slow each other down. Tests listed in
# KNOWN-RED.txt may fail: they run last, by themselves, and are printed. An entry
# names a test, or one subtest as Test/subtest.
set -euo pipefail
cd "$(dirname "$0")"
libraries="./core/... ./examples/... ./instance/... ./platform/... ./port/... ./standin/... ./wire/..."
deployments="./bench/... ./cmd/..."
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's#/#$/^#g; s/^/^/; s/$/$/' | paste -sd '|' -)
skip=()
if [ -n "$red" ]; then
  skip=(-skip "$red")
fi
go test -race -count=1 -timeout 8m "${skip[@]}" $libraries
go test -race -count=1 -timeout 8m -p 1 "${skip[@]}" $deployments
if [ -n "$red" ]; then
  echo "known red, may fail: $red"
  go test -race -count=1 -timeout 8m -p 1 -run "$red" $libraries $deployments || true
fi
