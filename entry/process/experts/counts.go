package experts

// maxIgnoredReads is the number of reads in a row that may not fit before the counts start anew.
const maxIgnoredReads = 3

// rankCounts are the cumulative token counts of one incarnation of a rank. A read counts once the
// next one fits it: counts never fall, so that one that is too high shows with the next read, and
// one that is too low at once.
type rankCounts struct {
	startTime int64
	// confirmed is the last read that the one after it fits, and latest the last read.
	confirmed, latest []int64
	// ignored is the number of reads since then that were lower.
	ignored int
}

// add adds a read of the counts. It returns the tokens that have been counted between the two
// reads that are confirmed last, nil if no further one is.
func (c *rankCounts) add(read []int64) []int64 {
	switch {
	case c.latest == nil:
		c.latest = read
	case notLower(read, c.latest):
		return c.confirm(read)
	case c.confirmed != nil && notLower(read, c.confirmed):
		c.latest, c.ignored = read, 0 // the latest read was too high
	case c.ignored < maxIgnoredReads:
		c.ignored++
	default:
		c.confirmed, c.latest, c.ignored = nil, read, 0
	}
	return nil
}

// confirm takes the latest read for right, which read fits.
func (c *rankCounts) confirm(read []int64) (counted []int64) {
	if c.confirmed != nil {
		counted = make([]int64, len(read))
		for i := range counted {
			counted[i] = c.latest[i] - c.confirmed[i]
		}
	}
	c.confirmed, c.latest, c.ignored = c.latest, read, 0
	return counted
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
