#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savoryweir-node ] && [ -x target/review/reviewcase ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" exec target/review/reviewcase stream-cut-in-event "$PWD/review/2"
