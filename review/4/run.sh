#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/stand ] || [ ! -x target/sesamed ]; then
	echo "build the deploy file's programs, then run review/build.sh" >&2
	exit 2
fi
exec target/review/stand taken review/4/record.txt
