#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -o ../../target/review-2/reviewstandin .
