#!/usr/bin/env bash
# Checks formatting, runs go vet and the linter, builds, and runs all tests with
# the race detector, including the scenarios. Prints the output of go test. Exits
# non-zero if anything fails; tests listed in KNOWN-RED.txt are printed and skipped.
set -euo pipefail
cd "$(dirname "$0")"

echo "== format"
unformatted=$(git ls-files -co --exclude-standard '*.go' | grep -v -e '_gen\.go$' -e '\.pb\.go$' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  echo "gofmt would change: $unformatted"
  exit 1
fi

echo "== vet"
go vet ./...

echo "== lint"
go tool -modfile=tools/lint/go.mod golangci-lint run ./...

echo "== build"
mkdir -p bin
go build -o bin/wigeonsail ./cmd/wigeonsail

echo "== test"
skip=''
if [ -s KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  # Each level of a subtest's name is matched whole: TestA/b gives ^TestA$/^b$.
  skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's#/#$/^#g; s/^/^/; s/$/$/' | paste -sd'|' -)
fi
if [ -n "$skip" ]; then
  go test -race -timeout 20m -skip "$skip" ./...
else
  go test -race -timeout 20m ./...
fi
