#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project's own program is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/review-standins .
