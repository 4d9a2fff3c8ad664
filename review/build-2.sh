#!/bin/sh
# Builds the stand-ins of the second review. Run it in the root after the build of the deploy
# file. It needs nothing but the standard library.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-standin-2 .
