package engine

// warmUp tracks how many jobs an engine can hold: a cold engine gains
// capacity with each job that it completes.
type warmUp struct {
	options  Options
	capacity float64
	epoch    int // increases when the engine turns cold; jobs of earlier epochs are not counted
	inFlight int
}

// turnCold makes the engine cold.
func (t *warmUp) turnCold() {
	t.capacity = float64(t.options.ColdCapacity)
	t.epoch++
	t.inFlight = 0
}

func (t *warmUp) cold() bool { return t.capacity < float64(t.options.Batch) }

// arrived counts a new job and reports whether it exceeds the cold capacity.
func (t *warmUp) arrived() bool {
	t.inFlight++
	return t.cold() && t.inFlight > int(t.capacity)
}

// overloaded reports whether a cold engine has enough jobs to crash.
func (t *warmUp) overloaded() bool {
	return t.cold() && float64(t.inFlight) > t.options.OverloadFactor*t.capacity
}

// ended removes a job from the count; a completed one adds capacity to a cold
// engine.
func (t *warmUp) ended(epoch int, completed bool) {
	if epoch != t.epoch {
		return
	}
	t.inFlight--
	if completed && t.cold() {
		t.capacity += t.options.WarmPerCompletion
	}
}

// slowdown returns the factor on the step duration, which falls from
// ColdSlowdown to 1 as the engine warms up.
func (t *warmUp) slowdown() float64 {
	if !t.cold() {
		return 1
	}
	cold := float64(t.options.ColdCapacity)
	left := (float64(t.options.Batch) - t.capacity) / max(float64(t.options.Batch)-cold, 1)
	return 1 + (t.options.ColdSlowdown-1)*left
}
