#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They need nothing but the standard library.
cd "$(dirname "$0")/standin-3" && GOWORK=off go build -o ../../target/review-3-fleet .
