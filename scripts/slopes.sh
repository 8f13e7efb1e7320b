#!/usr/bin/env bash
# Measures the CPU time of the entry and the agents per request and per streamed
# token, from runs that differ in only one of the two. The last line begins with
# "result slopes".
set -u
cd "$(dirname "$0")/.."
BASE_PORT=${BASE_PORT:-24000}
RUN_DIR=${RUN_DIR:-run/slopes}
. scripts/fleet.sh
SEED=${SEED:-1}
SECONDS_EACH=${SECONDS_EACH:-10}
TICKS=$(getconf CLK_TCK)
DC=gt-central-a

fail() {
	echo "slopes: $*" >&2
	exit 1
}

fleet_init
start_platform
for i in 0 1 2 3; do
	start_engine $DC "$i" asistente -coldCapacity 1000 -warmCapacity 1000 -batchPercent 0 -bytesPerToken 1024 \
		-firstTokenBase 1ms -betweenTokens 2ms
done
start_entry $DC 0
until curl -sf -o /dev/null -X PUT --data-binary @scripts/testdata/readers.jsonc \
	"http://$PLATFORM/objects/configuration/root"; do sleep 0.1; done
entry_ready() {
	curl -sf "http://$ENTRIES/v1/chat/completions" -H 'Authorization: Bearer key-of-normal' \
		-d '{"model":"asistente","messages":[{"role":"user","content":"hola"}],"max_tokens":1}'
}
for _ in $(seq 100); do entry_ready >/dev/null 2>&1 && break; sleep 0.1; done
entry_ready >/dev/null || fail "the entry is not ready"

# cpu_ticks NAME: prints the CPU time of a process in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/${PID[$1]}/stat"; }
agents_cpu_ticks() {
	local sum=0 i
	for i in 0 1 2 3; do sum=$((sum + $(cpu_ticks agent-asistente-$DC-$i))); done
	echo $sum
}

# measure RATE TOKENS: runs the load generator and sets ENTRY_MS, AGENT_MS and REQUESTS.
measure() {
	local entry agents
	entry=$(cpu_ticks entry-$DC-0)
	agents=$(agents_cpu_ticks)
	bin/goldcrest-standin load -entries "$ENTRIES" -keys normal=key-of-normal -services asistente=model \
		-mix streamed=1 -rate "$1" -duration "${SECONDS_EACH}s" -outputTokens "$2-$2" -promptBytes 1000-1000 \
		-seed "$SEED" >"$RUN_DIR/load.out" 2>&1 || { tail -3 "$RUN_DIR/load.out"; fail "the load generator failed"; }
	ENTRY_MS=$(((($(cpu_ticks entry-$DC-0) - entry) * 1000) / TICKS))
	AGENT_MS=$(((($(agents_cpu_ticks) - agents) * 1000) / TICKS))
	REQUESTS=$(sed -n 's/^result load requests=\([0-9]*\).*/\1/p' "$RUN_DIR/load.out")
	echo "rate=$1 tokens=$2 requests=$REQUESTS entryMs=$ENTRY_MS agentsMs=$AGENT_MS"
}

# Runs 1 and 2 differ by 192 tokens per request, runs 1 and 3 in the request rate.
measure 100 8 && E1=$ENTRY_MS A1=$AGENT_MS R1=$REQUESTS
measure 100 200 && E2=$ENTRY_MS A2=$AGENT_MS R2=$REQUESTS
measure 200 8 && E3=$ENTRY_MS A3=$AGENT_MS R3=$REQUESTS
awk -v e1="$E1" -v e2="$E2" -v e3="$E3" -v a1="$A1" -v a2="$A2" -v a3="$A3" -v r1="$R1" -v r2="$R2" -v r3="$R3" 'BEGIN {
	entry_token = (e2 / r2 - e1 / r1) / 192; agent_token = (a2 / r2 - a1 / r1) / 192
	entry_request = (e3 - e1) / (r3 - r1) - 8 * entry_token; agent_request = (a3 - a1) / (r3 - r1) - 8 * agent_token
	printf "result slopes entryMsPerRequest=%.3f entryUsPerToken=%.2f agentMsPerRequest=%.3f agentUsPerToken=%.2f\n", entry_request, entry_token * 1000, agent_request, agent_token * 1000
}'
