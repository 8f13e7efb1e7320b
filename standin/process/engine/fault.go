package engine

// Fault is a failure to inject. Counts apply to the next streamed answers.
type Fault struct {
	// Cold makes the engine cold without a new incarnation.
	Cold bool `json:"cold"`
	// Crash fails the engine now.
	Crash bool `json:"crash"`
	// BreakStreams aborts the connection in the middle of the answer.
	BreakStreams int `json:"breakStreams"`
	// EndEarlyStreams ends the answer in the middle as if it were complete, but
	// without its terminator.
	EndEarlyStreams int `json:"endEarlyStreams"`
	// MalformedStreams puts an event that is not JSON into the middle of the answer.
	MalformedStreams int `json:"malformedStreams"`
	// StallMs stops the generation of tokens for a while.
	StallMs int64 `json:"stallMs"`
}

// streamFault is what happens in the middle of one streamed answer.
type streamFault int

const (
	noStreamFault streamFault = iota
	streamBroken
	streamEndsEarly
	streamMalformed
)

// takeStreamFault takes the fault of one streamed answer.
func (f *Fault) takeStreamFault() streamFault {
	switch {
	case f.BreakStreams > 0:
		f.BreakStreams--
		return streamBroken
	case f.EndEarlyStreams > 0:
		f.EndEarlyStreams--
		return streamEndsEarly
	case f.MalformedStreams > 0:
		f.MalformedStreams--
		return streamMalformed
	}
	return noStreamFault
}
