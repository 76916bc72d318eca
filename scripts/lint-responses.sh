#!/usr/bin/env bash
# Fails if a process reads responses by net/http without a check of their heads, see internal/protocol/responsehead.
set -euo pipefail
cd "$(dirname "$0")/.."
readers='http\.(ReadResponse|Get|Head|Post|PostForm)\(|http\.(DefaultClient|DefaultTransport)|http\.(Client|Transport)\{'
found=$(grep -rlE "$readers" --include='*.go' cmd internal platform | grep -vE '_test\.go$|^internal/(standin|bench)/' | xargs -r grep -LE 'responsehead|checkedhttp' || true)
if [ -n "$found" ]; then
  echo "responses are read through checkedhttp, or checked by responsehead:"
  echo "$found"
  exit 1
fi
