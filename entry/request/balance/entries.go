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
)

// entryCount estimates how many entries share the limits, from the reports of agents. Too
// low a number lets all entries together exceed a limit.
type entryCount struct {
	// reported is the last reported number, 0 before the first report.
	reported int
	// firstReportAt is when a number was first reported.
	firstReportAt clock.Millis
}

// record records that n entries have been reported. No agent replies if n is 0; the last
// number then still holds.
func (c *entryCount) record(now clock.Millis, n int) {
	if n <= 0 {
		return
	}
	if c.reported == 0 {
		c.firstReportAt = now
	}
	c.reported = n
}

// value returns the number of entries.
func (c *entryCount) value(now clock.Millis) int {
	if c.reported == 0 || now-c.firstReportAt < entriesSettleTime {
		return max(c.reported, assumedEntries)
	}
	return c.reported
}
