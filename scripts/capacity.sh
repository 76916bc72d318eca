#!/usr/bin/env bash
# Measures the slopes of the control processes' cost and extrapolates them.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s build
go run ./internal/bench/cmd/capacity --bin bin "$@"
