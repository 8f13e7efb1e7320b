# Reads the lifecycle events of processes, the accepted versions, the platform's call
# counts and the adopted versions, in this order, and prints how long each change took
# to be in force. A process counts for a change if it started at least 5 s before the
# change was accepted and was not killed until 3 s after it. For a process that was
# paused, the duration starts when it resumes.
FILENAME ~ /lifecycle/ {
	if ($1 == "start") started[$2] = $3
	if ($1 == "kill") killed[$2] = $3
	if ($1 == "stop") { stops[$2]++; stopped[$2, stops[$2]] = $3 }
	if ($1 == "cont") continued[$2, stops[$2]] = $3
}
FILENAME ~ /accepted/ { versions++; version[versions] = $1; accepted[versions] = $2; fault[versions] = $3 }
FILENAME ~ /calls/ { reads = $4 + $6 - $1 - $3; writes = $5 - $2 }
FILENAME ~ /adopted/ {
	if ($1 in last && $2 <= last[$1]) reverted++
	last[$1] = $2
	n[$1]++
	got[$1, n[$1]] = $2
	at[$1, n[$1]] = $3
}
END {
	for (v = 2; v <= versions; v++) {
		worst = 0
		for (name in started) {
			if (started[name] > accepted[v] - 5000) continue
			if (name in killed && killed[name] < accepted[v] + 3000) continue
			from = accepted[v]
			for (s = 1; s <= stops[name]; s++)
				if (stopped[name, s] <= accepted[v] + 3000 && continued[name, s] > from) from = continued[name, s]
			when = -1
			for (i = 1; i <= n[name]; i++)
				if (got[name, i] >= version[v]) { when = at[name, i]; break }
			if (when < 0) { missing++; print "never in force: version " version[v] " at " name; continue }
			took = when > from ? when - from : 0
			times[++count] = took
			if (took > worst) worst = took
		}
		printf "change %d fault=%s maxInForceMs=%d\n", v - 1, fault[v], worst
	}
	for (i = 2; i <= count; i++) { # insertion sort keeps to POSIX awk
		t = times[i]
		for (j = i - 1; j > 0 && times[j] > t; j--) times[j + 1] = times[j]
		times[j + 1] = t
	}
	p99 = times[int((count - 1) * 0.99) + 1]
	printf "result config changes=%d processes=%d p99InForceMs=%d maxInForceMs=%d reverted=%d missing=%d platformReadsPerSec=%.1f platformWritesPerSec=%.1f\n",
		changes, processes, p99, times[count], reverted, missing, reads / seconds, writes / seconds
	exit !(times[count] <= 3000 && reverted + missing == 0)
}
