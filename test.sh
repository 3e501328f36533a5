#!/usr/bin/env bash
# Checks formatting, runs go vet and the linter, compares the messages between hosts with
# those of the last landing, builds, and runs all tests with the race detector, including the scenarios. Prints the output of go test. Exits
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

echo "== messages between hosts of two builds"
api/peer/check.sh

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
flags=(-timeout 20m)
if [ -n "$skip" ]; then
  flags+=(-skip "$skip")
fi
# On arm64 the race detector itself crashes in the synctest bubbles of these packages.
no_race=''
case "$(uname -m)" in
  aarch64 | arm64) no_race='/internal/gateway$' ;;
esac
failed=0
if [ -n "$no_race" ]; then
  go test "${flags[@]}" $(go list ./... | grep -e "$no_race") || failed=1
  go test -race "${flags[@]}" $(go list ./... | grep -v -e "$no_race") || failed=1
else
  go test -race "${flags[@]}" ./... || failed=1
fi
exit "$failed"
