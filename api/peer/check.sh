#!/usr/bin/env bash
# Compares peer.proto with that of the last landing, landed.binpb, and names what hosts of the two
# builds would take differently. After a landing: check.sh --update.
set -euo pipefail
cd "$(dirname "$0")"
buf() { go tool -modfile=../../tools/proto/go.mod buf "$@"; }
if [ "${1:-}" = --update ]; then
  buf build . --exclude-source-info -o landed.binpb
  exit
fi
buf breaking . --against landed.binpb
