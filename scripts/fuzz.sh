#!/usr/bin/env bash
# Fuzzes each decoder of the platform's messages for some seconds, from the seeds in the tests and the
# inputs below platform/testdata/fuzz.
# A failing input is written there, to be committed with the fix.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${FUZZ_SECONDS:-4}
for name in $(grep -ho 'func Fuzz[A-Za-z]*' platform/*_test.go | sed 's/func //'); do
  go test -run '^$' -fuzz "^${name}\$" -fuzztime "${seconds}s" -parallel 2 ./platform
done
