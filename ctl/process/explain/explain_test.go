package explain

import (
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

const (
	entryLog = `prefix {"time":"2026-12-04T08:00:02.500Z","level":"info","msg":"request answered","role":"entry","instance":"e1","event":1310,"request":"r1","ms":20}
{"time":"2026-12-04T08:00:02.000Z","level":"info","msg":"request sent again","role":"entry","instance":"e1","event":1313,"request":"r1","cause":"broken"}
{"time":"2026-12-04T08:00:01.900Z","level":"warning","msg":"upstream failed","role":"entry","instance":"e1","event":1316,"upstream":"u1"}
{"time":"2026-12-04T08:00:01.900Z","level":"warning","msg":"upstream failed","role":"entry","instance":"e2","event":1316,"upstream":"u2"}
{"time":"2026-12-04T08:00:01.000Z","level":"warni`
	ownerLog = `{"time":"2026-12-04T08:00:01.500Z","level":"info","msg":"switch","role":"entry","instance":"e2","event":1502,"service":"s","version":34603009}
not JSON
{"time":"2026-12-04T08:00:09.000Z","level":"info","msg":"switch","role":"entry","instance":"e2","event":1502,"service":"s","version":34603010}
`
)

func readLogs(t *testing.T) *Reader {
	t.Helper()
	r := &Reader{}
	for _, log := range []string{entryLog, ownerLog} {
		check.NoError(t, "Read", r.Read(strings.NewReader(log)))
	}
	return r
}

// Guards against a story in which lines are missing, out of order or of other
// requests and processes.
func TestTimeline(t *testing.T) {
	s, err := readLogs(t).Timeline("r1")
	check.NoError(t, "Story", err)
	var events, state []int
	for _, l := range s.Lines {
		events = append(events, l.Event)
	}
	for _, l := range s.State {
		state = append(state, l.Event)
	}
	check.Equal(t, "events", len(events), 2)
	check.Equal(t, "first", events[0], 1313)
	check.Equal(t, "last", events[1], 1310)
	check.Equal(t, "lines on the state", len(state), 2)
	check.Equal(t, "map in use then", state[0], 1502)
	check.Equal(t, "upstream of the own process", state[1], 1316)
	check.Equal(t, "lines left out", s.Skipped, 2)
}

// Guards against versions that are rounded.
func TestPrint(t *testing.T) {
	s, err := readLogs(t).Timeline("r1")
	check.NoError(t, "Story", err)
	var out strings.Builder
	check.NoError(t, "Print", s.Print(&out))
	for _, want := range []string{"request r1", "version=34603009", "cause=broken", "2 lines of the logs are no events"} {
		check.Equal(t, "text has "+want, strings.Contains(out.String(), want), true)
	}
}

// Guards against an empty story where the id is wrong.
func TestUnknownRequest(t *testing.T) {
	_, err := readLogs(t).Timeline("r2")
	check.Is(t, "Story", err, ErrUnknownRequest)
	check.Equal(t, "message names the id", strings.Contains(err.Error(), "r2"), true)
}
