#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/goldcrest-platform || ! -x review/standin-3/bin/standin ]]; then
	echo "build the deploy file and run review/build-3.sh first" >&2
	exit 2
fi
exec review/standin-3/bin/standin withdrawn review/12
