package event

import "bytes"

// levelInfo and levelDebug are contained in lines that are not urgent.
var (
	levelInfo  = []byte(`"level":"info"`)
	levelDebug = []byte(`"level":"debug"`)
)

// isUrgent reports whether a line is a warning or an error.
func isUrgent(line []byte) bool {
	return !bytes.Contains(line, levelInfo) && !bytes.Contains(line, levelDebug)
}
