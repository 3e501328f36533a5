#!/usr/bin/env bash
# Builds the program of a commit of this repository, for wigeonsail soak --old-binary:
#   tools/build-old.sh COMMIT FILE
set -euo pipefail
commit=$1
file=$(realpath -m "$2")
cd "$(dirname "$0")/.."
tree=$(mktemp -d)
trap 'git worktree remove --force "$tree"' EXIT
git worktree add -q --detach "$tree" "$commit"
cd "$tree"
go build -o "$file" ./cmd/wigeonsail
