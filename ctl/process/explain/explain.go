// Package explain puts together what several processes have logged about one
// request.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/event"
)

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("no log line names the request")

const (
	// maxLineBytes bounds one line.
	maxLineBytes = 1 << 20
	// recentWindow is how long before a request an event of its process still says
	// something about it.
	recentWindow = 3 * time.Second
	// requestField names the request of a line.
	requestField = "request"
)

// Line is one event of a log.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Timeline is what the logs say of a request.
type Timeline struct {
	Request string `json:"request"`
	// Lines are the events of the request in the order of time.
	Lines []Line `json:"lines"`
	// State are the last events on what the processes of the request depend on,
	// up to its end: store, configuration, data centres, upstreams, expert maps.
	State []Line `json:"state"`
	// Skipped is the number of lines that are no events.
	Skipped int `json:"skipped"`
}

// Reader collects the events of several logs.
type Reader struct {
	lines   []Line
	skipped int
}

// Read adds a log. What stands before the first brace of a line is ignored, so
// that the prefixes of collectors do no harm.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			r.skipped++
			continue
		}
		r.lines = append(r.lines, line)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// parseLine reads one line and reports whether it is an event.
func parseLine(raw []byte) (Line, bool) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw[i:]))
	decoder.UseNumber() // versions are too large to be read as floating point
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	number, isEvent := fields["event"].(json.Number)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if !isEvent || err != nil {
		return Line{}, false
	}
	code, err := number.Int64()
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Event: int(code), Fields: fields}
	line.Instance, _ = fields["instance"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, field := range []string{"event", "time", "instance", "msg", "level", "role"} {
		delete(fields, field)
	}
	return line, true
}

// Timeline returns what the logs say of a request, or ErrUnknown.
func (r *Reader) Timeline(request string) (*Timeline, error) {
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := &Timeline{Request: request, Skipped: r.skipped}
	for _, l := range r.lines {
		if l.Fields[requestField] == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return nil, errors.Wrapf(ErrUnknownRequest, "%q in %d events and %d other lines", request, len(r.lines), r.skipped)
	}
	s.State = r.state(s)
	return s, nil
}

// stateSubjects are the events that tell the state of something, with the field that
// names what they are about.
var stateSubjects = map[int]string{
	event.ConfigAdopted.Number():     "",
	event.StoreUnavailable.Number():  "kind",
	event.StoreRecovered.Number():    "kind",
	event.UpstreamChanged.Number():   "upstream",
	event.DataCentreChanged.Number(): "dataCentre",
	event.ProcessSuspended.Number():  "",
	event.ProcessStopping.Number():   "",
	event.UpstreamSkipped.Number():   "upstream",
	event.MapActivated.Number():      "service",
	event.MapAbandoned.Number():      "service",
}

// state returns the last event on each subject, of the processes that saw the
// request, and those on expert maps of any process.
func (r *Reader) state(s *Timeline) []Line {
	involved := make(map[string]bool)
	for _, l := range s.Lines {
		involved[l.Instance] = true
	}
	end := s.Lines[len(s.Lines)-1].Time
	last := make(map[string]Line)
	for _, l := range r.lines {
		subjectField, isState := stateSubjects[l.Event]
		isMapEvent := l.Event == event.MapActivated.Number() || l.Event == event.MapAbandoned.Number()
		if !isState || l.Time.After(end) || !(involved[l.Instance] || isMapEvent) || !relevant(l, s) {
			continue
		}
		key := fmt.Sprint(l.Instance, stateKind(l.Event), l.Fields[subjectField])
		last[key] = l
	}
	out := make([]Line, 0, len(last))
	for _, l := range last {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event), cmp.Compare(fmt.Sprint(a.Fields), fmt.Sprint(b.Fields)))
	})
	return out
}

// stateKind puts events on the same subject together.
func stateKind(number int) int {
	switch number {
	case event.StoreRecovered.Number():
		return event.StoreUnavailable.Number()
	case event.MapAbandoned.Number():
		return event.MapActivated.Number()
	}
	return number
}

// relevant leaves out events on upstreams that were long over.
func relevant(l Line, s *Timeline) bool {
	if l.Event != event.UpstreamSkipped.Number() && l.Event != event.UpstreamChanged.Number() {
		return true
	}
	return s.Lines[0].Time.Sub(l.Time) < recentWindow
}

// Print writes the story as text.
func (s *Timeline) Print(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.Request)
	for _, l := range s.Lines {
		b.WriteString(formatLine(l))
	}
	b.WriteString("\nlast known state before its end\n")
	for _, l := range s.State {
		b.WriteString(formatLine(l))
	}
	if s.Skipped > 0 {
		fmt.Fprintf(&b, "\n%d lines of the logs are no events and were left out\n", s.Skipped)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write")
}

// formatLine is one line with its fields by name.
func formatLine(l Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s  %-24s %d %s:", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Event, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != requestField {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String() + "\n"
}
