package engine

// temperature is how many jobs an engine can hold: a cold engine gains capacity
// with each job that it completes.
type temperature struct {
	options  Options
	capacity float64
	epoch    int // jobs from before the engine turned cold do not count
	held     int
}

// chill makes the engine cold.
func (t *temperature) chill() {
	t.capacity = float64(t.options.ColdCapacity)
	t.epoch++
	t.held = 0
}

func (t *temperature) cold() bool { return t.capacity < float64(t.options.Batch) }

// arrived counts a new job and reports whether it exceeds the cold capacity.
func (t *temperature) arrived() bool {
	t.held++
	return t.cold() && t.held > int(t.capacity)
}

// overloaded reports whether a cold engine dies of its load.
func (t *temperature) overloaded() bool {
	return t.cold() && float64(t.held) > t.options.OverloadFactor*t.capacity
}

// ended counts a job that left.
func (t *temperature) ended(epoch int, completed bool) {
	if epoch != t.epoch {
		return
	}
	t.held--
	if completed && t.cold() {
		t.capacity += t.options.WarmPerCompletion
	}
}

// slowdown falls from ColdSlowdown to 1 as the engine warms up.
func (t *temperature) slowdown() float64 {
	if !t.cold() {
		return 1
	}
	cold := float64(t.options.ColdCapacity)
	left := (float64(t.options.Batch) - t.capacity) / max(float64(t.options.Batch)-cold, 1)
	return 1 + (t.options.ColdSlowdown-1)*left
}
