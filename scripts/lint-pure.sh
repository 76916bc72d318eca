#!/usr/bin/env bash
# Fails if decision or state code reads the clock, sleeps or starts a goroutine.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(grep -rnE 'time\.(Now|Sleep|After|Since|NewTimer|NewTicker)\(|^\s*go (func|[a-zA-Z])' \
  internal/coordination internal/state --include='*.go' --exclude='*_test.go' || true)
if [ -n "$found" ]; then
  echo "coordination and state take the time as an argument and start no goroutine:"
  echo "$found"
  exit 1
fi
