#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/hornbeamtide ] || [ ! -x target/review/rig-2 ]; then
	echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
DAEMON=$PWD/target/hornbeamtide timeout 115 target/review/rig-2 freeze > review/7/record.txt 2>&1
code=$?
tail -1 review/7/record.txt
[ $code -le 1 ] || code=2
exit $code
