#!/bin/sh
# The store comes back from a copy while all machines are killed, after an engine of a new version has left. Exits with 1 if ORDER was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/cases3 canary target/savoryweir-node review/12/record.txt
