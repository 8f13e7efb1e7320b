package experts

// maxIgnoredReads is the number of reads in a row that may not fit before the counts start anew.
const maxIgnoredReads = 3

// rankCounts are the cumulative token counts of one incarnation of a rank. Counts never fall, so
// that a read that is too high shows with the next one, and one that is too low at once.
type rankCounts struct {
	startTime int64
	// latest is the last read, and confirmed the one before it, which latest fits; nil for none.
	confirmed, latest []int64
	// ignored is the number of reads since then that were too low.
	ignored int
}

// add adds a read of the counts. It returns the read since which its tokens count, nil if there is
// none. A count that is lower than in that read takes back what it added by mistake.
func (c *rankCounts) add(read []int64) (since []int64) {
	since = c.latest
	switch {
	case c.latest != nil && notLower(read, c.latest): // the usual one
		c.confirmed, c.latest, c.ignored = c.latest, read, 0
		return since
	case c.confirmed != nil && notLower(read, c.confirmed): // the latest read was too high
		c.latest, c.ignored = read, 0
		return since
	case c.latest != nil && c.ignored < maxIgnoredReads: // this read is too low
		c.ignored++
	default: // the first read, or the latest ones were wrong
		c.confirmed, c.latest, c.ignored = nil, read, 0
	}
	return nil
}

// notLower reports whether no count of a read is lower than that of an earlier one.
func notLower(read, earlier []int64) bool {
	for i := range read {
		if read[i] < earlier[i] {
			return false
		}
	}
	return true
}
