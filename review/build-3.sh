#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o bin/standin .
