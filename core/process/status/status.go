// Package status defines the report that each relay writes to the platform about
// its subscribers and itself, for goldcrestctl status.
package status

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// Interval is the time between two reports of a relay. At full size, the 15
// sources and 200 relays write 43 times a second in total.
const Interval = 5 * clock.Second

// ErrMalformed reports a report that Parse cannot read.
var ErrMalformed = errors.New("status report is malformed")

// Name returns the name of a relay's object under platform.KindStatus.
func Name(relay string) string { return "relay." + relay }

// Report is the state of one relay and of its subscribers.
type Report struct {
	relay     string
	at        clock.Millis
	processes []Process
}

// NewReport returns a report; at is a time of the relay's own clock.
func NewReport(relay string, at clock.Millis, processes []Process) Report {
	return Report{relay, at, processes}
}

// Relay returns the instance that wrote the report.
func (r Report) Relay() string { return r.relay }

// At returns the time at which the report was written.
func (r Report) At() clock.Millis { return r.at }

// Processes returns the subscribers and the relay; callers must not change it.
func (r Report) Processes() []Process { return r.processes }

// Process is the state of one process.
type Process struct {
	instance             string
	configurationVersion uint64
	load                 Load
}

// NewProcess returns the state of a process and its current configuration
// version; load is empty for an entry.
func NewProcess(instance string, configurationVersion uint64, load Load) Process {
	return Process{instance, configurationVersion, load}
}

// Instance returns the name of the instance.
func (p Process) Instance() string { return p.instance }

// ConfigurationVersion returns the process's current configuration version.
func (p Process) ConfigurationVersion() uint64 { return p.configurationVersion }

// Load returns the load of an agent's upstream, empty for an entry.
func (p Process) Load() Load { return p.load }

// Load is the load and the capacity of an agent's upstream.
type Load struct {
	service  string
	inFlight int
	limit    int
	cold     bool
	draining bool
}

// NewLoad returns the load of an upstream; limit is the maximum number of requests
// in flight.
func NewLoad(service string, inFlight, limit int, cold, draining bool) Load {
	return Load{service, inFlight, limit, cold, draining}
}

// Service returns the upstream's service, empty for an entry.
func (l Load) Service() string { return l.service }

// InFlight returns the number of requests in flight at the upstream.
func (l Load) InFlight() int { return l.inFlight }

// Limit returns the maximum number of requests in flight.
func (l Load) Limit() int { return l.limit }

// Cold reports whether the upstream is in a cold start.
func (l Load) Cold() bool { return l.cold }

// Draining reports whether the upstream accepts no new work.
func (l Load) Draining() bool { return l.draining }

type reportBody struct {
	Relay     string        `json:"relay"`
	AtMs      int64         `json:"atMs"`
	Processes []processBody `json:"processes"`
}

type processBody struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	Service  string `json:"service,omitempty"`
	InFlight int    `json:"held,omitempty"`
	Limit    int    `json:"limit,omitempty"`
	Cold     bool   `json:"cold,omitempty"`
	Draining bool   `json:"leaving,omitempty"`
}

// Encode returns the value of the object.
func (r Report) Encode() []byte {
	body := reportBody{r.relay, int64(r.at), make([]processBody, len(r.processes))}
	for i, p := range r.processes {
		l := p.load
		body.Processes[i] = processBody{p.instance, p.configurationVersion, l.service, l.inFlight, l.limit, l.cold, l.draining}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // these types can always be encoded
	}
	return raw
}

// Parse decodes a value that Encode returned.
func Parse(raw []byte) (Report, error) {
	var body reportBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return Report{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	r := Report{body.Relay, clock.Millis(body.AtMs), make([]Process, len(body.Processes))}
	for i, b := range body.Processes {
		r.processes[i] = Process{b.Instance, b.Version, Load{b.Service, b.InFlight, b.Limit, b.Cold, b.Draining}}
	}
	return r, nil
}
