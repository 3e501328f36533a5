#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/review3-standins ./review/standins3
