#!/usr/bin/env bash
# Runs all tests with the race detector, except those that KNOWN-RED.txt lists and
# the benchmark bounds, which "make bounds" runs without it.
#
# Packages that test under virtual time run twice: with the race detector on one
# processor, and without it on all. On several processors the runtime may run two
# timers of one synctest bubble at once, under the one race context of the bubble's
# timers (runtime/time.go, unlockAndRun), and the race detector then ends the process:
# "ThreadSanitizer: CHECK failed: tsan_rtl.cpp", or a fault inside it.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(sed -n 's/^test: .* \(Test[A-Za-z0-9_]*\)$/^\1$/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
options=(-count=1 -timeout 20m -skip "Bound${red:+|$red}")

mapfile -t virtual < <(grep -rl --include='*_test.go' '"testing/synctest"' internal cmd | xargs -n1 dirname | sort -u | sed 's|^|./|')
mapfile -t all < <(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|")
mapfile -t real < <(comm -23 <(printf '%s\n' "${all[@]}" | sort) <(printf '%s\n' "${virtual[@]}"))

# The first two runs go side by side: the first mostly waits for real processes.
log=$(mktemp)
trap 'rm -f "$log"' EXIT
go test -race -cpu 1 "${options[@]}" "${virtual[@]}" >"$log" 2>&1 &
single=$!
status=0
go test -race "${options[@]}" "${real[@]}" || status=1
wait "$single" || status=1
cat "$log"
go test "${options[@]}" "${virtual[@]}" || status=1
exit $status
