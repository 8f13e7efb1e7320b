#!/usr/bin/env bash
# Repeatedly sends a request that crashes engines through two entries, while a load
# generator sends requests and checks the responses, and counts the crashes. The last
# line begins with "result suspects".
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
SEED=${SEED:-1}
MARKER_EVERY=${MARKER_EVERY:-0}
CTL=(bin/goldcrestctl -platform "$PLATFORM")

fleet_init
start_platform
for dc in bilbao oviedo pamplona; do
	for i in 0 1; do start_engine "$dc" "$i" redactor -timeScale 2 -crashMarker poison; done
done
start_service bilbao 0 registro
start_entry bilbao 0
start_entry pamplona 0

chat() {
	curl -s -m 10 "http://$1/v1/chat/completions" -H 'Authorization: Bearer key-of-auctions' \
		-d "{\"model\":\"redactor\",\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}],\"max_tokens\":4}"
}
wait_for curl -sf "http://$PLATFORM/calls"
cp scripts/testdata/demo.jsonc "$RUN_DIR/"
"${CTL[@]}" apply "$RUN_DIR/demo.jsonc" >/dev/null || exit 1
for entry in ${ENTRIES//,/ }; do
	for _ in $(seq 100); do chat "$entry" hola | grep -q choices && break; sleep 0.1; done
done
sleep 1
bin/goldcrest-standin load -entries "$ENTRIES" -keys 'auctions=key-of-auctions' -ledgers "$LEDGERS" -seed "$SEED" \
	-services 'redactor=model' -mix streamed=70,whole=30 -rate 20 -duration "${DURATION:-12s}" -deadlineMs 15000 \
	-markerEvery "$MARKER_EVERY" -outputTokens 8-64 >"$RUN_DIR/load.out" 2>"$RUN_DIR/load.log" &
PID[load]=$!
sleep 2
for round in $(seq 8); do
	for entry in ${ENTRIES//,/ }; do
		chat "$entry" "the same poison" >>"$RUN_DIR/marked.out"
		sleep 0.3
	done
done
wait "${PID[load]}"
unset "PID[load]"
tail -n 1 "$RUN_DIR/load.out"
crashes=$(cat "$RUN_DIR"/engine-*.log | grep -c '"\?event"\?[=:]"\?1900')
refused=$(grep -c quarantined "$RUN_DIR/marked.out")
echo "result suspects seed=$SEED sent=16 markerEvery=$MARKER_EVERY engineCrashes=$crashes refusedQuarantined=$refused"
