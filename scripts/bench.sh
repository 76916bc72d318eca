#!/usr/bin/env bash
# Prints the tables of all policy benches and writes their plots to out/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
for bench in internal/bench/cmd/*/; do
  [ -d "$bench" ] || continue
  go run "./$bench" --out out
done
