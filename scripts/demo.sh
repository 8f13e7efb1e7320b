#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, sends requests whose
# responses are checked while a data centre is taken out of service and back in,
# and stops everything gracefully. The last line begins with "result demo".
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
SEED=${SEED:-1}
CTL=(bin/goldcrestctl -platform "$PLATFORM")
KEYS='auctions=key-of-auctions*4,dealers=key-of-dealers,insurers=key-of-insurers'

fail() {
	echo "demo: $*" >&2
	exit 1
}

fleet_init
start_platform
next_port
start weights bin/goldcrest-standin weights -listen "$ADDRESS"
for dc in bilbao oviedo pamplona; do
	start_engine "$dc" 0 redactor -timeScale 2
	start_engine "$dc" 1 redactor -timeScale 2
	start_service "$dc" 0 registro
done
start_entry bilbao 0
start_entry pamplona 0

wait_for curl -sf "http://$PLATFORM/calls"
# apply writes demo.jsonc.base next to the file, so a copy is used.
cp scripts/testdata/demo.jsonc "$RUN_DIR/"
"${CTL[@]}" check "$RUN_DIR/demo.jsonc" || fail "the sample configuration is invalid"
"${CTL[@]}" apply "$RUN_DIR/demo.jsonc" || fail "applying the sample configuration failed"

# entries_ready: succeeds once the entries respond to a request for each service.
entries_ready() {
	curl -sf -X GET "http://${ENTRIES%%,*}/certificates/1" -H 'Authorization: Bearer key-of-auctions' &&
		curl -sf "http://${ENTRIES##*,}/v1/chat/completions" -H 'Authorization: Bearer key-of-auctions' \
			-d '{"model":"redactor","messages":[{"role":"user","content":"hola"}],"max_tokens":1}'
}
wait_for entries_ready

bin/goldcrest-standin load -entries "$ENTRIES" -keys "$KEYS" -ledgers "$LEDGERS" -seed "$SEED" \
	-services 'redactor=model,registro=plain:/certificates' -rate 40 -duration 20s -deadlineMs 15000 \
	-keyedRetries 2 -outputTokens 8-64 >"$RUN_DIR/load.out" 2>"$RUN_DIR/load.log" &
PID[load]=$!
sleep 5
echo "taking data centre oviedo out of service"
"${CTL[@]}" datacentre out oviedo || fail "taking oviedo out of service failed"
sleep 6
echo "taking data centre oviedo back into service"
"${CTL[@]}" datacentre in oviedo || fail "taking oviedo back into service failed"
wait "${PID[load]}"
load_status=$?
unset "PID[load]"
cat "$RUN_DIR/load.out"
"${CTL[@]}" status || fail "goldcrestctl status failed"
"${CTL[@]}" report burn || fail "goldcrestctl report burn failed"

daemons=()
for name in "${!PID[@]}"; do
	case $name in entry-* | agent-*) daemons+=("$name") ;; esac
done
stop "${daemons[@]}" || fail "a daemon did not stop gracefully"
[ "$load_status" -eq 0 ] || fail "the load generator found a wrong or truncated response"
sed -n 's/^result load/result demo/p' "$RUN_DIR/load.out"
