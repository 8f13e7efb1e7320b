#!/usr/bin/env bash
# Measures how long an accepted configuration takes to be in force in at least
# 60 processes while relays are killed, connections stop delivering data, the
# platform fails and processes are replaced. The last line begins with "result
# config".
set -u
cd "$(dirname "$0")/.."
BASE_PORT=${BASE_PORT:-23000}
RUN_DIR=${RUN_DIR:-run/config}
LOG_LEVEL=info
NETWORK=1 # each agent is behind a stand-in network that can stop delivering data
. scripts/fleet.sh
SEED=${SEED:-1}
CHANGES=${CHANGES:-30}
AGENTS=${AGENTS:-54}
ENTRY_COUNT=${ENTRY_COUNT:-6}
CHANGE_INTERVAL_S=4 # interval between changes, longer than the goal of 3 s
CTL=(bin/goldcrestctl -platform "$PLATFORM")
CENTRES=(bilbao oviedo pamplona)
RANDOM=$SEED

fail() {
	echo "config: $*" >&2
	exit 1
}
now_ms() { date +%s%3N; }
record_event() { echo "$1 $2 $(now_ms)" >>"$RUN_DIR/lifecycle.txt"; }
set_fault() { curl -sf -X PUT "http://$PLATFORM/fault" -d "$1" || fail "setting fault $1 failed"; }

# new_agent: starts an agent in the next data centre and sets NAME to its name.
SERIAL=0
new_agent() {
	local dc=${CENTRES[$((SERIAL % 3))]}
	start_agent "$dc" "$SERIAL" registro "$UPSTREAM"
	NAME=agent-registro-$dc-$SERIAL
	SERIAL=$((SERIAL + 1))
	record_event start "$NAME"
}

# pick_relay: sets NAME to a random running agent that has written a relay report.
pick_relay() {
	local all
	mapfile -t all < <(curl -s "http://$PLATFORM/objects/status" | grep -o '"name":"relay\.agent[^"]*"' | cut -d'"' -f4 | sed 's/^relay\.//')
	for _ in $(seq 50); do
		NAME=${all[$((RANDOM % ${#all[@]}))]}
		[ -n "${PID[$NAME]:-}" ] && return
	done
	fail "no relay is running"
}

# kill_process NAME: kills a process with SIGKILL.
kill_process() {
	record_event kill "$1"
	kill -9 "${PID[$1]}"
	wait "${PID[$1]}" 2>/dev/null
	unset "PID[$1]"
	kill_network "$1"
}

# kill_network NAME: kills the stand-in network of a terminated process.
kill_network() {
	kill -9 "${PID[network-$1]}"
	wait "${PID[network-$1]}" 2>/dev/null
	unset "PID[network-$1]"
}

# apply_change NUMBER FAULT: applies the next configuration and records its version,
# time and fault. The time is taken before the command starts, so that the measured
# durations are never too short.
apply_change() {
	sed "s/\"weight\": [0-9]*/\"weight\": $((10 + $1))/" scripts/testdata/demo.jsonc >"$RUN_DIR/text.jsonc"
	local at version
	at=$(now_ms)
	"${CTL[@]}" apply "$RUN_DIR/text.jsonc" >"$RUN_DIR/apply.out" || fail "applying change $1 failed: $(cat "$RUN_DIR/apply.out")"
	version=$(grep -o '[0-9]*$' "$RUN_DIR/apply.out")
	echo "$version $at $2" >>"$RUN_DIR/accepted.txt"
}

# Faults; each occurs during ten percent of the changes.
FAULTS=(none relayKilled relaySilent platformDown platformSlow answerLost replaced pausedReturns twoRelaysKilled downAndRelayKilled)

# change_under_fault NUMBER FAULT: applies a change under a fault. In pausedReturns, a
# paused process keeps its connections open without sending data, and offers old
# versions when it resumes.
change_under_fault() {
	local number=$1 kind=$2
	case $kind in
	none) apply_change "$number" "$kind" ;;
	relayKilled)
		pick_relay
		kill_process "$NAME"
		apply_change "$number" "$kind"
		new_agent
		;;
	twoRelaysKilled)
		pick_relay
		kill_process "$NAME"
		pick_relay
		kill_process "$NAME"
		apply_change "$number" "$kind"
		new_agent
		new_agent
		;;
	relaySilent)
		pick_relay
		curl -sf -X PUT "http://${NETWORK_CONTROL[$NAME]}/fault" -d '{"silent":true}' || fail "setting fault silent for $NAME failed"
		apply_change "$number" "$kind"
		;;
	pausedReturns)
		pick_relay
		local name=$NAME
		record_event stop "$name"
		kill -STOP "${PID[$name]}"
		sleep 1
		apply_change "$number" "$kind"
		sleep 3
		kill -CONT "${PID[$name]}"
		record_event cont "$name"
		;;
	platformDown)
		apply_change "$number" "$kind"
		set_fault '{"down":true}'
		sleep 2
		set_fault '{}'
		;;
	platformSlow)
		apply_change "$number" "$kind"
		set_fault '{"slowMs":1500}'
		sleep 3
		set_fault '{}'
		;;
	answerLost)
		set_fault '{"loseAnswers":1}'
		apply_change "$number" "$kind"
		set_fault '{}'
		;;
	replaced)
		local agent=agent-registro-${CENTRES[$((number % 3))]}-$number
		[ -n "${PID[$agent]:-}" ] || { pick_relay; agent=$NAME; }
		apply_change "$number" "$kind"
		record_event kill "$agent"
		kill -TERM "${PID[$agent]}"
		wait "${PID[$agent]}"
		unset "PID[$agent]"
		kill_network "$agent"
		new_agent
		;;
	downAndRelayKilled)
		pick_relay
		local relay=$NAME
		apply_change "$number" "$kind"
		set_fault '{"down":true}'
		kill_process "$relay"
		sleep 2
		set_fault '{}'
		new_agent
		;;
	esac
}

fleet_init
start_platform
next_port
UPSTREAM=$ADDRESS
start service bin/goldcrest-standin service -listen "$UPSTREAM"
wait_for curl -sf "http://$PLATFORM/calls"
apply_change 0 first
for _ in $(seq "$AGENTS"); do new_agent; done
for i in $(seq "$ENTRY_COUNT"); do
	dc=${CENTRES[$((i % 3))]}
	start_entry "$dc" "$i"
	record_event start "entry-$dc-$i"
done
sleep 8

fault_order=()
for i in $(seq 0 $((CHANGES - 1))); do fault_order+=("${FAULTS[$((i % ${#FAULTS[@]}))]}"); done
for i in $(seq $((CHANGES - 1)) -1 1); do
	j=$((RANDOM % (i + 1)))
	swap=${fault_order[$i]}
	fault_order[i]=${fault_order[$j]}
	fault_order[j]=$swap
done

calls_before=$(curl -s "http://$PLATFORM/calls")
started_ms=$(now_ms)
for i in $(seq "$CHANGES"); do
	change_under_fault "$i" "${fault_order[$((i - 1))]}"
	sleep "$CHANGE_INTERVAL_S"
done
ended_ms=$(now_ms)
calls_after=$(curl -s "http://$PLATFORM/calls")
"${CTL[@]}" status
running=0
for name in "${!PID[@]}"; do
	case $name in agent-* | entry-*) running=$((running + 1)) ;; esac
done

grep -h '"event":1200' "$RUN_DIR"/agent-*.log "$RUN_DIR"/entry-*.log |
	sed 's/.*"instance":"\([^"]*\)".*"atMs":\([0-9]*\).*"version":\([0-9]*\).*/\1 \3 \2/' >"$RUN_DIR/adopted.txt"
echo "$calls_before $calls_after" | tr -c '0-9\n' ' ' >"$RUN_DIR/calls.txt"
awk -v processes="$running" -v seconds="$(((ended_ms - started_ms) / 1000))" -v changes="$CHANGES" \
	-f scripts/config.awk "$RUN_DIR/lifecycle.txt" "$RUN_DIR/accepted.txt" "$RUN_DIR/calls.txt" "$RUN_DIR/adopted.txt"
