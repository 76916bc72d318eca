#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/stage ] && [ -x target/savoryweir-node ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-2/stage --case revoked-after-drill --node target/savoryweir-node --folder "$folder" --record "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
