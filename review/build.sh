#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin review/standin/*.go
