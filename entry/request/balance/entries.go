package balance

import "goldcrestshore/core/process/clock"

const (
	// assumedEntries is the assumed number of entries until agents report it: a
	// process that has just started must not use the shared limits alone.
	assumedEntries = 16
	// entriesSettleTime is how long after the first report fewer entries than
	// assumedEntries are not believed. An agent counts the entries that it has heard
	// from, and all may have started at once.
	entriesSettleTime = 1500 * clock.Millis(1)
	// entriesHoldTime is how long a number of entries still counts after fewer have been
	// reported. It exceeds the retry window, since what entries that leave have used counts
	// in it, and most partitions, since an entry that agents do not hear from may be serving.
	entriesHoldTime = 30 * clock.Second
)

// entryCount estimates how many entries share the limits, from the reports of agents. Too
// low a number lets all entries together exceed a limit.
type entryCount struct {
	// reports holds falling numbers: the last one reported, and before it the higher ones
	// that still count.
	reports []entryReport
	// firstReportAt is when a number was first reported.
	firstReportAt clock.Millis
}

// entryReport is a reported number of entries.
type entryReport struct {
	entries int
	// lastAt is when the number was last reported.
	lastAt clock.Millis
}

// record records that n entries have been reported. No agent replies if n is 0; the last
// number then still holds.
func (c *entryCount) record(now clock.Millis, n int) {
	if n <= 0 {
		return
	}
	if len(c.reports) == 0 {
		c.firstReportAt = now
	}
	for len(c.reports) > 0 && c.reports[len(c.reports)-1].entries <= n {
		c.reports = c.reports[:len(c.reports)-1]
	}
	c.reports = append(c.reports, entryReport{n, now})
	for now-c.reports[0].lastAt > entriesHoldTime {
		c.reports = c.reports[1:]
	}
}

// value returns the number of entries.
func (c *entryCount) value(now clock.Millis) int {
	if len(c.reports) == 0 {
		return assumedEntries
	}
	if now-c.firstReportAt < entriesSettleTime {
		return max(c.reports[0].entries, assumedEntries)
	}
	return c.reports[0].entries
}
