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

// Guards against a timeline with missing or unordered events, or with events of
// other requests and processes.
func TestTimeline(t *testing.T) {
	s, err := readLogs(t).Timeline("r1")
	check.NoError(t, "Timeline", err)
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
	check.Equal(t, "state events", len(state), 2)
	check.Equal(t, "expert map in use", state[0], 1502)
	check.Equal(t, "upstream event of the same process", state[1], 1316)
	check.Equal(t, "skipped lines", s.Skipped, 2)
}

// Guards against version numbers that are rounded to floating point.
func TestPrint(t *testing.T) {
	s, err := readLogs(t).Timeline("r1")
	check.NoError(t, "Timeline", err)
	var out strings.Builder
	check.NoError(t, "Print", s.Print(&out))
	for _, want := range []string{"request r1", "version=34603009", "cause=broken", "2 lines of the logs are no events"} {
		check.Equal(t, "text has "+want, strings.Contains(out.String(), want), true)
	}
}

// Guards against an empty timeline for an unknown request ID.
func TestUnknownRequest(t *testing.T) {
	_, err := readLogs(t).Timeline("r2")
	check.Is(t, "Timeline", err, ErrUnknownRequest)
	check.Equal(t, "error has the request ID", strings.Contains(err.Error(), "r2"), true)
}
