package event

import "bytes"

// levelInfo and levelDebug mark lines that may give way to others.
var (
	levelInfo  = []byte(`"level":"info"`)
	levelDebug = []byte(`"level":"debug"`)
)

// isUrgent tells whether a line reports a warning or an error.
func isUrgent(line []byte) bool {
	return !bytes.Contains(line, levelInfo) && !bytes.Contains(line, levelDebug)
}
