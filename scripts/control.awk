# Reads the names of the relays and the samples before and after a phase, and prints
# the means per process for each kind of process.
FILENAME ~ /relays$/ { relay[$1] = 1; next }
FILENAME ~ /before$/ { cpu[$1] = $2; bytes[$1] = $4; next }
{
	kind = $1 ~ /^entry/ ? "entry" : "agent"
	if ($1 in relay) kind = kind "Relay"
	count[kind]++
	used[kind] += ($2 - cpu[$1]) / ticks
	resident[kind] += $3
	moved[kind] += $4 - bytes[$1]
}
END {
	for (kind in count) {
		n = count[kind]
		printf "size=%d phase=%s kind=%s processes=%d corePercent=%.3f residentMB=%.1f KBps=%.2f\n",
			size, phase, kind, n, 100 * used[kind] / n / seconds, resident[kind] / n / 1024, moved[kind] / n / seconds / 1000
	}
}
