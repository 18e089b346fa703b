#!/usr/bin/env bash
# Runs the tests of the given packages. The tests listed in KNOWN-RED.txt run too and their
# names are printed; only these may fail.
set -u
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -count=1 "$@" 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
known=$(grep -E '^test: ' KNOWN-RED.txt 2>/dev/null | sed 's/^test: //')
if [ -n "$known" ]; then
	echo "Known red tests (KNOWN-RED.txt):"
	echo "$known"
fi
[ "$status" -eq 0 ] && exit 0
if grep -qE '^(panic:|.*\[build failed\]|.*\[setup failed\])' "$out"; then
	exit 1
fi
# An entry names a test, with all its subtests, or one subtest. A test fails with its subtests.
failed=$(sed -nE 's/^ *--- FAIL: ([^ ]+).*/\1/p' "$out")
is_known() { grep -qxF -e "$1" -e "${1%%/*}" <<<"$known"; }
unknown=0
while read -r name; do
	[ -z "$name" ] && continue
	subtests=$(grep -F "$name/" <<<"$failed")
	for part in ${subtests:-$name}; do
		if ! is_known "$part"; then
			echo "failed and not known red: $part"
			unknown=1
		fi
	done
done <<<"$failed"
grep -qE '^ *--- FAIL: ' "$out" || unknown=1
exit $unknown
