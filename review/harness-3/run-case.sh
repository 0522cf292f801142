#!/bin/sh
# Runs the driver of one case: run-case.sh CLASS RECORD_FILE. Exits with its status: 1 broken, 0 held, 2 not run.
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2") || exit 2
cd "$(dirname "$0")/../.." || exit 2
[ -f review/harness-3/target/classes/Case.class ] || { echo "run review/build-3.sh first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
# A signal ends the driver, whose shutdown hook ends the gateways.
trap 'kill "$driver" 2>/dev/null; wait "$driver"; rm -rf "$work"; exit 2' TERM INT HUP
java -cp review/harness-3/target/classes "$1" "$record" "$work" &
driver=$!
wait "$driver"
status=$?
rm -rf "$work"
case $status in 0|1) exit $status ;; *) exit 2 ;; esac
