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
	c.record(clock.Hour+entriesSettleTime, 5)
	check.Equal(t, "after the reports have settled", c.value(clock.Hour+entriesSettleTime), 5)
	var large entryCount
	large.record(clock.Hour, 2*assumedEntries)
	check.Equal(t, "more than assumed", large.value(clock.Hour), 2*assumedEntries)
}

// Guards against an entry that counts itself alone while no agent replies.
func TestUnknownNumberOfEntries(t *testing.T) {
	var c entryCount
	c.record(0, 5)
	c.record(clock.Minute, 0) // no agent replies
	check.Equal(t, "while no agent replies", c.value(clock.Minute), 5)
}

// Guards against entries that take over the share of one that still uses it, because it is
// cut off from agents, or whose retries still count.
func TestEntriesThatLeaveStillCount(t *testing.T) {
	var c entryCount
	c.record(-entriesSettleTime, 5)
	c.record(0, 5)
	for now := clock.Second; now < entriesHoldTime; now += clock.Second {
		c.record(now, 3)
		check.Equal(t, "soon after two have left", c.value(now), 5)
	}
	c.record(entriesHoldTime, 4)
	c.record(entriesHoldTime+1, 3)
	check.Equal(t, "long after one has left, soon after another", c.value(entriesHoldTime+1), 4)
	c.record(2*entriesHoldTime+1, 3)
	check.Equal(t, "long after both have left", c.value(2*entriesHoldTime+1), 3)
	c.record(2*entriesHoldTime+2, 6)
	check.Equal(t, "as soon as more are reported", c.value(2*entriesHoldTime+2), 6)
}
