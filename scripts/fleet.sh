# Functions that start goldcrestshore and its stand-ins as separate processes on
# loopback and stop them by process ID. Sourced by the other scripts.
#
# BASE_PORT is the first port used. It must be below 32768, where the ephemeral port
# range of Linux starts. RUN_DIR is the directory for logs and settings.

BASE_PORT=${BASE_PORT:-21000}
RUN_DIR=${RUN_DIR:-run}
PLATFORM=127.0.0.1:$BASE_PORT
declare -A PID
NEXT_PORT=$((BASE_PORT + 1))

next_port() { ADDRESS=127.0.0.1:$NEXT_PORT; NEXT_PORT=$((NEXT_PORT + 1)); }

# start NAME COMMAND...: starts a process in the background and records its ID in PID.
start() {
	local name=$1
	shift
	"$@" >>"$RUN_DIR/$name.log" 2>&1 &
	PID[$name]=$!
}

# fleet_init: creates RUN_DIR and the settings file shared by all daemons.
fleet_init() {
	rm -rf "$RUN_DIR"
	mkdir -p "$RUN_DIR"
	cat >"$RUN_DIR/shared.jsonc" <<-END
		// Settings shared by all daemons of this run.
		{"platform": "$PLATFORM", "key": "demo-key-of-own-processes", "logLevel": "${LOG_LEVEL:-info}"}
	END
	trap fleet_kill EXIT
}

fleet_kill() {
	for name in "${!PID[@]}"; do kill -9 "${PID[$name]}" 2>/dev/null; done
	wait 2>/dev/null
}

# wait_for COMMAND...: retries a command until it succeeds; exits after 15 s.
wait_for() {
	for _ in $(seq 150); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "timed out waiting for: $*" >&2
	exit 1
}

start_platform() { start platform bin/goldcrest-standin platform -listen "$PLATFORM" -listLagMs "${LIST_LAG_MS:-500}" "$@"; }

# start_engine DATACENTRE INDEX SERVICE [FLAGS]: starts a model engine and its agent.
start_engine() {
	local dc=$1 i=$2 service=$3
	shift 3
	next_port
	local upstream=$ADDRESS
	start "engine-$dc-$i" bin/goldcrest-standin engine -listen "$upstream" -seed "$((i + 1))" "$@"
	start_agent "$dc" "$i" "$service" "$upstream"
}

# start_service DATACENTRE INDEX SERVICE [FLAGS]: starts a plain service and its agent.
start_service() {
	local dc=$1 i=$2 service=$3
	shift 3
	next_port
	local upstream=$ADDRESS
	start "service-$dc-$i" bin/goldcrest-standin service -listen "$upstream" "$@"
	LEDGERS="${LEDGERS:+$LEDGERS,}$upstream"
	start_agent "$dc" "$i" "$service" "$upstream"
}

# start_agent DATACENTRE INDEX SERVICE UPSTREAM: starts an agent. With NETWORK=1 the
# entries connect to it through a stand-in network, whose control address is stored
# in NETWORK_CONTROL.
declare -A NETWORK_CONTROL DAEMON_COMMAND
start_agent() {
	local dc=$1 i=$2 service=$3 upstream=$4
	local name=agent-$service-$dc-$i
	next_port
	local listen=$ADDRESS advertise=$ADDRESS
	if [ "${NETWORK:-0}" = 1 ]; then
		next_port
		advertise=$ADDRESS
		next_port
		NETWORK_CONTROL[$name]=$ADDRESS
		start "network-$name" bin/goldcrest-standin network -listen "$advertise" -target "$listen" -control "$ADDRESS"
	fi
	next_port
	DAEMON_COMMAND[$name]="bin/goldcrest-agent -settings $RUN_DIR/shared.jsonc -instance $name -dataCentre $dc \
		-listen $listen -advertise $advertise -admin $ADDRESS -service $service -upstream $upstream -memoryLimitBytes ${MEMORY_LIMIT:-33554432}"
	start_daemon "$name"
}

# start_daemon NAME: starts an agent or entry with the command stored in DAEMON_COMMAND.
start_daemon() {
	local command=${DAEMON_COMMAND[$1]}
	# Word splitting is intended: no argument contains spaces.
	# shellcheck disable=SC2086
	start "$1" $command
}

# start_entry DATACENTRE INDEX: starts an entry and appends its address for callers
# to ENTRIES.
start_entry() {
	local dc=$1 i=$2
	next_port
	local callers=$ADDRESS
	next_port
	local listen=$ADDRESS
	next_port
	DAEMON_COMMAND[entry-$dc-$i]="bin/goldcrest-entry -settings $RUN_DIR/shared.jsonc -instance entry-$dc-$i \
		-dataCentre $dc -listen $listen -admin $ADDRESS -callers $callers -memoryLimitBytes ${MEMORY_LIMIT:-33554432}"
	start_daemon "entry-$dc-$i"
	ENTRIES="${ENTRIES:+$ENTRIES,}$callers"
}

# stop NAME...: sends SIGTERM to processes and waits for them; returns non-zero if
# any of them was killed or failed.
stop() {
	local result=0
	for name in "$@"; do kill -TERM "${PID[$name]}" 2>/dev/null; done
	for name in "$@"; do
		wait "${PID[$name]}" || { echo "$name exited with status $?"; result=1; }
		unset "PID[$name]"
	done
	return $result
}
