#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cornellanding ] || [ ! -x target/review-3-fleet ]; then
	echo "build by deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
TROUBLE="${TROUBLE:-1}" exec target/review-3-fleet target/cornellanding config-hot review/14/record.txt
