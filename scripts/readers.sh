#!/usr/bin/env bash
# Measures the memory that slow readers use in the entry and the agents, and their
# effect on normal callers, with real processes on loopback (docs/design.md section
# 8).
#
# Runs twice with the same seed: normal callers alone, then together with 1,000
# readers of 1 KB/s and 50 readers that stop reading. Bytes per slow reader are the
# increase of peak resident memory of the entry and all agents, divided by the number
# of slow and stopped readers. The metrics endpoints, read while the slow readers are
# connected, show how much of it is on the Go heap and in stacks. The engines' step
# time does not depend on the batch size here, so that the comparison of the normal
# callers measures only the load balancer.
set -eu
cd "$(dirname "$0")/.."

SEED=${SEED:-1}
SLOW=${SLOW:-1000}
STOPPED=${STOPPED:-50}
ENGINES=${ENGINES:-4}
# 1,640 events of 160 bytes are 256 KB per response.
SLOW_TOKENS=1640
NORMAL_SECONDS=${NORMAL_SECONDS:-20}
NORMAL_RATE=${NORMAL_RATE:-20}
DC=gt-central-a
MAX_BYTES_PER_READER=65536
MAX_P95_PERCENT=120

BASE_PORT=${BASE_PORT:-23000}
RUN_DIR=${RUN_DIR:-run/readers}
. scripts/fleet.sh

# fleet_up: starts the platform, the engines with their agents and one entry, and
# waits until they serve requests.
fleet_up() {
	fleet_init
	NEXT_PORT=$((BASE_PORT + 1))
	ENTRIES=
	ADMINS=()
	start_platform
	# The wait is bounded, since the platform exits if its port is in use.
	for _ in $(seq 50); do
		curl -sf -o /dev/null -X PUT --data-binary @scripts/testdata/readers.jsonc \
			"http://$PLATFORM/objects/configuration/root" && break
		kill -0 "${PID[platform]}" || { cat "$RUN_DIR/platform.log"; exit 1; }
		sleep 0.1
	done
	for i in $(seq 0 $((ENGINES - 1))); do
		start_engine $DC "$i" asistente -coldCapacity 1000 -warmCapacity 1000 -batchPercent 0 -bytesPerToken 1024
		ADMINS+=("$ADDRESS")
	done
	start_entry $DC 0
	ADMINS+=("$ADDRESS")
	for _ in $(seq 100); do
		load normal -rate 5 -duration 500ms -outputTokens 2 >"$RUN_DIR/ready.out" 2>&1 &&
			grep -q '^result.* requests=[1-9].* notRun=0 .*unreached=0' "$RUN_DIR/ready.out" && return
		sleep 0.3
	done
	echo "timed out waiting for the fleet to serve requests"
	exit 1
}

# load CUSTOMER FLAGS: runs the load generator.
load() {
	local customer=$1
	shift
	bin/goldcrest-standin load -entries "$ENTRIES" -services asistente=model -mix streamed=1 \
		-keys "$customer=key-of-$customer" -seed "${LOAD_SEED:-$SEED}" "$@"
}

# peak NAME: prints the peak resident memory of a process in bytes.
peak() { awk '/^VmHWM/ {print $2 * 1024}' "/proc/${PID[$1]}/status"; }

# measure_peaks: sets ENTRY_PEAK, and AGENTS_PEAK to the sum over all agents.
measure_peaks() {
	ENTRY_PEAK=$(peak "entry-$DC-0")
	AGENTS_PEAK=0
	for i in $(seq 0 $((ENGINES - 1))); do
		AGENTS_PEAK=$((AGENTS_PEAK + $(peak "agent-asistente-$DC-$i")))
	done
}

# metric_sum NAME: prints the sum of a metric over the entry and all agents.
metric_sum() {
	for admin in "${ADMINS[@]}"; do curl -sf "http://$admin/metrics"; done |
		awk -v name="$1" '$1 == name {sum += $2} END {printf "%d", sum}'
}

# load_result NAME FILE: prints a value of the result line.
load_result() { grep '^result load' "$2" | sed "s/.* $1=\([^ ]*\).*/\1/"; }

load_normal() {
	load normal -rate "$NORMAL_RATE" -duration "${NORMAL_SECONDS}s" -outputTokens 64-128 -window 10s | tee "$1"
	return "${PIPESTATUS[0]}"
}

fleet_down() {
	local names=("entry-$DC-0")
	for i in $(seq 0 $((ENGINES - 1))); do names+=("agent-asistente-$DC-$i"); done
	stop "${names[@]}"
	fleet_kill
	PID=()
}

failed=0
mkdir -p /tmp/goldcrest-readers
OUT=$(mktemp -d /tmp/goldcrest-readers/XXXXXX)

fleet_up
load_normal "$OUT/alone" || failed=1
HEAP_ALONE=$(metric_sum go_memstats_heap_alloc_bytes)
STACK_ALONE=$(metric_sum go_memstats_stack_inuse_bytes)
measure_peaks
ENTRY_PEAK_ALONE=$ENTRY_PEAK
AGENTS_PEAK_ALONE=$AGENTS_PEAK
fleet_down || failed=1

fleet_up
load slow -rate 0 -duration $((NORMAL_SECONDS + 25))s -deadlineMs 600000 -slowTokens $SLOW_TOKENS -slowStart 8s \
	-slowReaders "$SLOW" -stoppedReaders "$STOPPED" -window 60s >"$OUT/slow" &
SLOW_PID=$!
sleep 15
load_normal "$OUT/beside" || failed=1
HEAP=$(metric_sum go_memstats_heap_alloc_bytes)
STACK=$(metric_sum go_memstats_stack_inuse_bytes)
wait $SLOW_PID || failed=1
measure_peaks
cat "$OUT/slow"
# Use another seed for other prompts: the engines still cache the prompts of the
# previous load, and a cached prompt halves the time to first token.
LOAD_SEED=$((SEED + 1000)) load_normal "$OUT/after" || failed=1
fleet_down || failed=1

PER_READER=$(((ENTRY_PEAK - ENTRY_PEAK_ALONE + AGENTS_PEAK - AGENTS_PEAK_ALONE) / (SLOW + STOPPED)))
HEAP_PER_READER=$(((HEAP - HEAP_ALONE) / (SLOW + STOPPED)))
STACK_PER_READER=$(((STACK - STACK_ALONE) / (SLOW + STOPPED)))
WRONG=$(($(load_result wrong "$OUT/alone") + $(load_result wrong "$OUT/beside") + $(load_result wrong "$OUT/after") + $(load_result wrong "$OUT/slow")))
CUT=$(($(load_result cut "$OUT/alone") + $(load_result cut "$OUT/beside") + $(load_result cut "$OUT/after") + $(load_result cut "$OUT/slow")))
REFUSED=$(grep '^slow readers' "$OUT/slow" | sed 's/.* refused=\([0-9]*\).*/\1/')
# Normal callers alone are measured before and after, since other load on the machine
# changes during a run.
P95_ALONE=$(awk "BEGIN {print ($(load_result firstTokenP95Ms "$OUT/alone") + $(load_result firstTokenP95Ms "$OUT/after")) / 2}")
P95_WITH_SLOW=$(load_result firstTokenP95Ms "$OUT/beside")
RATIO=$(awk "BEGIN {print $P95_WITH_SLOW / $P95_ALONE}")
[ "$PER_READER" -le $MAX_BYTES_PER_READER ] || failed=1
awk "BEGIN {exit !($RATIO * 100 <= $MAX_P95_PERCENT)}" || failed=1
[ $((WRONG + CUT + REFUSED)) -eq 0 ] || failed=1
echo "result readers seed=$SEED slow=$SLOW stopped=$STOPPED bytesPerSlowReader=$PER_READER heapPerSlowReader=$HEAP_PER_READER stackPerSlowReader=$STACK_PER_READER entryPeakBytes=$ENTRY_PEAK agentsPeakBytes=$AGENTS_PEAK entryPeakAloneBytes=$ENTRY_PEAK_ALONE agentsPeakAloneBytes=$AGENTS_PEAK_ALONE p95AloneMs=$P95_ALONE p95Ms=$P95_WITH_SLOW p95Ratio=$RATIO refused=$REFUSED cut=$CUT wrong=$WRONG"
exit $failed
