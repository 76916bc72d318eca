#!/bin/sh
# Plays a case of the third review: play-3.sh CASE NUMBER. Ends with the exit code of the case, 2 if it ran into its time limit or its
# stand-in died. All processes that it started are ended.
cd "$(dirname "$0")/.." || exit 2
FOLDER=$(mktemp -d) || exit 2
PROCESSES=$FOLDER/processes
export FOLDER PROCESSES
: > "$PROCESSES"
finish() {
	while read -r pid; do
		case $(ps -p "$pid" -o args= 2>/dev/null) in
		*savoryweir-node*"$FOLDER"*) kill -9 "$pid" 2>/dev/null ;;
		esac
	done < "$PROCESSES"
	rm -rf "$FOLDER"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 target/review-3/cases3 "$1" target/savoryweir-node "review/$2/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
