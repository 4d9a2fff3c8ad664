#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, next to the router's programs.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOPROXY=off go build -o ../../target/review-standin .
