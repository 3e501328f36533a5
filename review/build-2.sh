#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins2"
CGO_ENABLED=0 GOFLAGS= go build -buildvcs=false -o ../../target/review-standins2 .
