#!/bin/sh
# Runs the driver of one case: run-case.sh CLASS CASE_FOLDER. Exits with its status: 1 broken, 0 held, 2 not run.
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
[ -f review/harness-3/target/classes/Case.class ] || { echo "run review/build-3.sh first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
java -cp review/harness-3/target/classes "$1" "$case_folder/record.txt" "$work"
status=$?
rm -rf "$work"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
