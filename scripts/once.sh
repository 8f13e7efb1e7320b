#!/usr/bin/env bash
# Sends requests through real processes while they are killed, paused and
# disconnected (phase 1), then while they are stopped gracefully (phase 2). The
# outcome is verified by the responses that callers check and by the ledgers of the
# plain services. The last line begins with "result onceProcesses".
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
SEED=${SEED:-1}
SECONDS_EACH=${SECONDS_EACH:-30}
NETWORK=1
RANDOM=$SEED
KEYS='auctions=key-of-auctions*4,dealers=key-of-dealers,insurers=key-of-insurers'

fail() {
	echo "once: $*" >&2
	exit 1
}

fleet_init
start_platform
for dc in bilbao oviedo pamplona; do
	start_engine "$dc" 0 redactor -timeScale 4
	start_service "$dc" 0 registro -ledger "$RUN_DIR/ledger-$dc"
done
for dc in bilbao oviedo pamplona; do start_entry "$dc" 0; done
DAEMONS=(agent-{redactor,registro}-{bilbao,oviedo,pamplona}-0 entry-{bilbao,oviedo,pamplona}-0)
AGENTS=(agent-{redactor,registro}-{bilbao,oviedo,pamplona}-0)

wait_for curl -sf "http://$PLATFORM/calls"
cp scripts/testdata/demo.jsonc "$RUN_DIR/"
bin/goldcrestctl apply -platform "$PLATFORM" "$RUN_DIR/demo.jsonc" || fail "applying the configuration failed"
entry_ready() {
	curl -sf "http://$1/certificates/1" -H 'Authorization: Bearer key-of-auctions' &&
		curl -sf "http://$1/v1/chat/completions" -H 'Authorization: Bearer key-of-auctions' \
			-d '{"model":"redactor","messages":[{"role":"user","content":"hola"}],"max_tokens":1}'
}
for e in ${ENTRIES//,/ }; do wait_for entry_ready "$e"; done

# load PHASE FLAGS: starts the load generator in the background.
load() {
	local phase=$1
	shift
	start "load" bin/goldcrest-standin load -entries "$ENTRIES" -keys "$KEYS" -ledgers "$LEDGERS" \
		-seed "$((SEED * 10 + phase))" -services 'redactor=model,registro=plain:/certificates' -rate 40 \
		-duration "${SECONDS_EACH}s" -deadlineMs 15000 -keyedRetries 3 -outputTokens 8-64 \
		-mix streamed=30,whole=10,plain=10,keyed=40,unkeyed=10 "$@"
}

set_fault() { curl -s -X PUT "http://$PLATFORM/fault" -d "$1" >/dev/null; }
pick_daemon() { PICKED=${DAEMONS[RANDOM % ${#DAEMONS[@]}]}; }

# inject: causes one random fault and repairs it after a delay.
inject() {
	pick_daemon
	local agent=${AGENTS[RANDOM % ${#AGENTS[@]}]}
	case $((RANDOM % 6)) in
	0) echo "kill $PICKED" && kill -9 "${PID[$PICKED]}" && wait "${PID[$PICKED]}" 2>/dev/null
		sleep 0.5 && start_daemon "$PICKED" ;;
	1) echo "pause $PICKED" && kill -STOP "${PID[$PICKED]}" && sleep 4 && kill -CONT "${PID[$PICKED]}" ;;
	2) echo "cut $agent" && curl -s -X PUT "http://${NETWORK_CONTROL[$agent]}/fault" -d '{"cut":true}' ;;
	3) echo "silence $agent" && curl -s -X PUT "http://${NETWORK_CONTROL[$agent]}/fault" -d '{"silent":true}' ;;
	4) echo "platform down" && set_fault '{"down":true}' && sleep 3 && set_fault '{"down":false}' ;;
	5) echo "platform drops 3 responses" && set_fault '{"loseAnswers":3}' ;;
	esac
}

load_result() { sed -n "s/^result load.* $1=\([0-9]*\).*/\1/p" "$RUN_DIR/$2"; }

load 1
end=$((SECONDS + SECONDS_EACH - 5))
injected=0
while [ $SECONDS -lt $end ]; do
	inject
	injected=$((injected + 1))
	sleep 1
done
wait "${PID[load]}"
unset "PID[load]"
mv "$RUN_DIR/load.log" "$RUN_DIR/faults.out"
grep -v '^window' "$RUN_DIR/faults.out"

for e in ${ENTRIES//,/ }; do wait_for entry_ready "$e"; done
load 2
stopped=0
for name in "${DAEMONS[@]}"; do
	echo "planned stop $name"
	stop "$name" || fail "$name did not stop gracefully"
	start_daemon "$name"
	stopped=$((stopped + 1))
	sleep 2
done
wait "${PID[load]}"
unset "PID[load]"
mv "$RUN_DIR/load.log" "$RUN_DIR/planned.out"
grep -v '^window' "$RUN_DIR/planned.out"

bad=0
for f in duplicated falseNotRun wrong; do
	for phase in faults.out planned.out; do
		[ "$(load_result $f $phase)" = 0 ] || bad=1
	done
done
[ "$(load_result cut planned.out)" = 0 ] || bad=1
sum() { echo $(($(load_result "$1" faults.out) + $(load_result "$1" planned.out))); }
echo "result onceProcesses faults=$injected plannedStops=$stopped requests=$(sum requests) duplicated=$(sum duplicated)" \
	"falseNotRun=$(sum falseNotRun) wrong=$(sum wrong) cutByPlannedStop=$(load_result cut planned.out) unknown=$(sum unknown)" \
	"notRun=$(sum notRun) ok=$(sum ok)"
exit $bad
