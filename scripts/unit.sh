#!/usr/bin/env bash
# Runs all tests with the race detector, except those that KNOWN-RED.txt lists and
# the benchmark bounds, which "make bounds" runs without it.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(sed -n 's/^test: .* \(Test[A-Za-z0-9_]*\)$/^\1$/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
go test -race -count=1 -timeout 20m -skip "Bound${red:+|$red}" ./...
