package engine

// Fault is a fault to inject. The stream counts apply to the next streamed responses.
type Fault struct {
	// Cold makes the engine cold without starting a new incarnation.
	Cold bool `json:"cold"`
	// Crash makes the engine crash immediately.
	Crash bool `json:"crash"`
	// BreakStreams is the number of responses whose connection is aborted halfway.
	BreakStreams int `json:"breakStreams"`
	// EndEarlyStreams is the number of responses that end halfway without an error
	// and without the terminator.
	EndEarlyStreams int `json:"endEarlyStreams"`
	// MalformedStreams is the number of responses that contain, halfway, an event that
	// is not valid JSON.
	MalformedStreams int `json:"malformedStreams"`
	// StallMs is how long token generation is suspended.
	StallMs int64 `json:"stallMs"`
}

// streamFault is the fault injected halfway through one streamed response.
type streamFault int

const (
	noStreamFault streamFault = iota
	streamBroken
	streamEndsEarly
	streamMalformed
)

// takeStreamFault returns the fault for the next streamed response and decrements
// its count.
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
