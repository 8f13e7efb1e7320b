#!/usr/bin/env bash
# Lets one replica of a service with three entries say that it leaves, or ask for a pause, and checks
# what it gets afterwards. RUNS is the number of runs; with TROUBLE=0 the replica says nothing.
set -eu
cd "$(dirname "$0")/../platform"
failed=0
for run in $(seq "${RUNS:-1}"); do
	echo "run $run"
	go test -count=1 -v -run '^TestPushBack$' ./soak || failed=1
done
exit $failed
