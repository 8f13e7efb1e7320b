// Package explain assembles a timeline of one request from the logs of several
// processes.
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

// ErrUnknownRequest means that no log line has the request ID.
var ErrUnknownRequest = errors.New("no log line has the request ID")

const (
	// maxLineBytes limits the length of one log line.
	maxLineBytes = 1 << 20
	// recentWindow is how long before the start of a request an upstream event of
	// its processes is still relevant to it.
	recentWindow = 3 * time.Second
	// requestField is the field that holds the request ID.
	requestField = "request"
)

// Line is one logged event.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    int            `json:"event"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// Timeline holds the logged events of a request.
type Timeline struct {
	Request string `json:"request"`
	// Lines are the events of the request in chronological order.
	Lines []Line `json:"lines"`
	// State holds, up to the end of the request, the last event for each thing that
	// its processes depend on: store, configuration, data centres, upstreams and
	// expert maps.
	State []Line `json:"state"`
	// Skipped is the number of log lines that are not events.
	Skipped int `json:"skipped"`
}

// Reader collects the events of several logs.
type Reader struct {
	lines   []Line
	skipped int
}

// Read adds the events of a log. Anything before the first brace of a line is
// ignored, since log collectors add prefixes.
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

// parseLine parses one log line and reports whether it is an event.
func parseLine(raw []byte) (Line, bool) {
	i := bytes.IndexByte(raw, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw[i:]))
	decoder.UseNumber() // versions exceed the precision of float64
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

// Timeline returns the logged events of a request, or ErrUnknownRequest.
func (r *Reader) Timeline(request string) (*Timeline, error) {
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	timeline := &Timeline{Request: request, Skipped: r.skipped}
	for _, l := range r.lines {
		if l.Fields[requestField] == request {
			timeline.Lines = append(timeline.Lines, l)
		}
	}
	if len(timeline.Lines) == 0 {
		return nil, errors.Wrapf(ErrUnknownRequest, "request %q in %d events and %d other lines", request, len(r.lines), r.skipped)
	}
	timeline.State = r.state(timeline)
	return timeline, nil
}

// stateSubjects holds the events that report a state, each with the field that
// names the subject.
var stateSubjects = map[int]string{
	event.ConfigAdopted.Number():      "",
	event.StoreUnavailable.Number():   "kind",
	event.StoreRecovered.Number():     "kind",
	event.UpstreamChanged.Number():    "upstream",
	event.UpstreamLimited.Number():    "upstream",
	event.UpstreamLeaving.Number():    "upstream",
	event.UpstreamPaused.Number():     "upstream",
	event.ViewOverdue.Number():        "kind",
	event.DataCentreChanged.Number():  "dataCentre",
	event.ProcessSuspended.Number():   "",
	event.ProcessStopping.Number():    "",
	event.UpstreamSkipped.Number():    "upstream",
	event.RequestQuarantined.Number(): "",
	event.MapActivated.Number():       "service",
	event.MapAbandoned.Number():       "service",
}

// state returns the last state event for each subject, from the processes that
// handled the request, and for expert maps from any process.
func (r *Reader) state(timeline *Timeline) []Line {
	involved := make(map[string]bool)
	for _, l := range timeline.Lines {
		involved[l.Instance] = true
	}
	end := timeline.Lines[len(timeline.Lines)-1].Time
	last := make(map[string]Line)
	for _, l := range r.lines {
		subjectField, isState := stateSubjects[l.Event]
		isMapEvent := l.Event == event.MapActivated.Number() || l.Event == event.MapAbandoned.Number()
		if !isState || l.Time.After(end) || !(involved[l.Instance] || isMapEvent) || !relevant(l, timeline) {
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

// stateKind maps events that report the same kind of state to one number.
func stateKind(number int) int {
	switch number {
	case event.StoreRecovered.Number():
		return event.StoreUnavailable.Number()
	case event.MapAbandoned.Number():
		return event.MapActivated.Number()
	}
	return number
}

// relevant excludes upstream events that precede the request by more than
// recentWindow.
func relevant(l Line, timeline *Timeline) bool {
	if l.Event != event.UpstreamSkipped.Number() && l.Event != event.UpstreamChanged.Number() {
		return true
	}
	return timeline.Lines[0].Time.Sub(l.Time) < recentWindow
}

// Print writes the timeline as text.
func (t *Timeline) Print(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", t.Request)
	for _, l := range t.Lines {
		b.WriteString(formatLine(l))
	}
	b.WriteString("\nlast known state before its end\n")
	for _, l := range t.State {
		b.WriteString(formatLine(l))
	}
	if t.Skipped > 0 {
		fmt.Fprintf(&b, "\n%d lines of the logs are no events and were left out\n", t.Skipped)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write timeline")
}

// formatLine returns one event as text, with its fields sorted by name.
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
