#!/usr/bin/env bash
# Measures what entry and control processes cost at several sizes, and
# extrapolates the control processes' slopes to the target size.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
echo "== entry"
go run ./internal/bench/cmd/entrycost --bin bin
echo "== control"
go run ./internal/bench/cmd/capacity --bin bin "$@"
