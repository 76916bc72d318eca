#!/usr/bin/env bash
# Prints the tables of the policy benches (virtual time) and writes their plots to out/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
for bench in membership moves policy joint; do
  echo "== $bench"
  go run "./internal/bench/cmd/$bench" --out out
done
