# Fits a line to the measurements of each kind of process as a function of fleet
# size, and compares the largest measured values with the goals for a node.
{
	for (i = 1; i <= NF; i++) { split($i, p, "="); f[p[1]] = p[2] }
	key = f["kind"] " " f["phase"]
	n[key]++; x[key] += f["size"]; xx[key] += f["size"] ^ 2
	split("corePercent residentMB KBps", names, " ")
	for (i = 1; i <= 3; i++) {
		y[key, i] += f[names[i]]
		xy[key, i] += f["size"] * f[names[i]]
		if (f[names[i]] > most[i]) most[i] = f[names[i]]
	}
}
END {
	for (key in n) {
		d = n[key] * xx[key] - x[key] ^ 2
		printf "slope %s per process of the fleet:", key
		for (i = 1; i <= 3; i++) printf " %s=%.5f", names[i], d ? (n[key] * xy[key, i] - x[key] * y[key, i]) / d : 0
		printf "\n"
	}
	printf "result control maxCorePercent=%.3f maxResidentMB=%.1f maxKBps=%.2f goalCorePercent=1.9 goalResidentMB=32 goalKBps=17\n", most[1], most[2], most[3]
	exit !(most[1] <= 1.9 && most[2] <= 32 && most[3] <= 17)
}
