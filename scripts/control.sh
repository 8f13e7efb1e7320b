#!/usr/bin/env bash
# Measures CPU time, resident memory and control traffic of each process at several
# fleet sizes, idle and during configuration changes. The last line begins with
# "result control".
set -u
cd "$(dirname "$0")/.."
BASE_PORT=${BASE_PORT:-25000}
LOG_LEVEL=warning
. scripts/fleet.sh
SEED=${SEED:-1}
SIZES=${SIZES:-10 30 100}
PHASE_S=${PHASE_S:-15}
ROOT_DIR=${RUN_DIR:-run}/control
CTL=(bin/goldcrestctl -platform "$PLATFORM")
CENTRES=(bilbao oviedo pamplona)
TICKS=$(getconf CLK_TCK)

# sample FILE: writes name, CPU ticks, resident KB, and bytes read and written of
# each agent and entry. The bytes are those of the process's sockets and its log.
sample() {
	for name in "${!PID[@]}"; do
		case $name in agent-* | entry-*) ;; *) continue ;; esac
		local p=/proc/${PID[$name]}
		echo "$name $(awk '{print $14 + $15}' "$p/stat") $(awk '/VmRSS/ {print $2}' "$p/status") $(awk '/^[rw]char/ {n += $2} END {print n}' "$p/io")"
	done | sort >"$1"
}

apply_change() {
	sed "s/\"weight\": [0-9]*/\"weight\": $((10 + $1))/" scripts/testdata/demo.jsonc >"$RUN_DIR/text.jsonc"
	"${CTL[@]}" apply "$RUN_DIR/text.jsonc" >/dev/null || { echo "control: applying change $1 failed" >&2; exit 1; }
}

# apply_changes: applies one change every 2 s, more than twice the rate of 0.19/s
# expected at full size.
apply_changes() {
	for i in $(seq $((PHASE_S / 2))); do
		apply_change "$((1 + i))"
		sleep 2
	done
}

# report SIZE PHASE: prints the means of each kind of process.
report() {
	curl -s "http://$PLATFORM/objects/status" | grep -o '"name":"relay\.[^"]*"' | cut -d'"' -f4 | sed 's/^relay\.//' >"$RUN_DIR/relays"
	awk -v size="$1" -v phase="$2" -v seconds="$PHASE_S" -v ticks="$TICKS" -f scripts/control.awk \
		"$RUN_DIR/relays" "$RUN_DIR/before" "$RUN_DIR/after" | tee -a "$ROOT_DIR/table.txt"
}

rm -rf "$ROOT_DIR"
for size in $SIZES; do
	RUN_DIR=$ROOT_DIR/$size
	NEXT_PORT=$((BASE_PORT + 1))
	fleet_init
	start_platform
	next_port
	UPSTREAM=$ADDRESS
	start service bin/goldcrest-standin service -listen "$UPSTREAM"
	wait_for curl -sf "http://$PLATFORM/calls"
	apply_change 0
	entries=$((size / 10))
	for i in $(seq $((size - entries))); do start_agent "${CENTRES[$((i % 3))]}" "$i" registro "$UPSTREAM"; done
	for i in $(seq $entries); do start_entry "${CENTRES[$((i % 3))]}" "$i"; done
	sleep 10
	sample "$RUN_DIR/before"
	sleep "$PHASE_S"
	sample "$RUN_DIR/after"
	report "$size" idle
	sample "$RUN_DIR/before"
	apply_changes
	sample "$RUN_DIR/after"
	report "$size" changes
	fleet_kill
	PID=()
done
awk -f scripts/slope.awk "$ROOT_DIR/table.txt"
