#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/reviewcase
