#!/bin/sh
# The store comes back from a copy while all machines are killed, after an engine of a new version has left. Exits with 1 if ORDER was broken, 0 if it held, 2 if it couldn't run.
exec "$(dirname "$0")/../play-3.sh" canary 12
