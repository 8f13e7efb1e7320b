package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against an entry that believes the first reports after a start of all processes,
// which count only the entries that have been heard from so far.
func TestFirstReportsOfEntries(t *testing.T) {
	var c entryCount
	check.Equal(t, "before any report", c.value(clock.Hour), assumedEntries)
	c.record(clock.Hour, 1)
	check.Equal(t, "after the first report", c.value(clock.Hour), assumedEntries)
	c.record(clock.Hour+1, 2*assumedEntries)
	check.Equal(t, "more than assumed", c.value(clock.Hour+1), 2*assumedEntries)
	c.record(clock.Hour+entriesSettleTime, 5)
	check.Equal(t, "after the reports have settled", c.value(clock.Hour+entriesSettleTime), 5)
}

// Guards against an entry that counts itself alone while no agent replies.
func TestUnknownNumberOfEntries(t *testing.T) {
	var c entryCount
	c.record(0, 5)
	c.record(clock.Minute, 0)
	check.Equal(t, "while no agent replies", c.value(clock.Minute), 5)
}
