package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/status"
	"goldcrestshore/core/version/drainflag"
)

// maxReportAge is the age, relative to the latest report, above which a report is
// ignored because its relay has terminated.
const maxReportAge = 3 * status.Interval

func (t *tool) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "goldcrestctl status [flags]",
		ShortHelp:  "Show versions in force, service capacity, duties and drain flags.",
		LongHelp: `The figures come from the relays' reports, which may be up to 5 s old. Example:

  goldcrestctl status -platform 127.0.0.1:21000`,
		FlagSet: t.platformFlags("goldcrestctl status"),
		Exec: t.withPlatform(0, "none", func(ctx context.Context, _ []string) error {
			o, err := t.observe(ctx)
			if err != nil {
				return err
			}
			o.print(t)
			return nil
		}),
	}
}

// observation is the state of the platform as read by one command.
type observation struct {
	version   uint64
	instances []platform.Instance
	out       drainflag.Set // drain flags
	reports   []status.Report
	duties    platform.Listing
}

func (t *tool) observe(ctx context.Context) (*observation, error) {
	o := &observation{}
	current, err := t.current(ctx)
	if err != nil {
		return nil, err
	}
	o.version = current.version
	if o.instances, err = t.platform.Instances(ctx); err != nil {
		return nil, err
	}
	flagObjects, err := t.platform.List(ctx, platform.KindDrainFlag, "")
	if err != nil {
		return nil, err
	}
	var names []string
	for _, m := range flagObjects.Objects() {
		names = append(names, m.Name())
	}
	o.out = drainflag.NewSet(names...)
	if o.duties, err = t.platform.List(ctx, platform.KindDuty, ""); err != nil {
		return nil, err
	}
	statusObjects, err := t.platform.List(ctx, platform.KindStatus, "")
	if err != nil {
		return nil, err
	}
	o.reports = freshReports(statusObjects.Objects())
	return o, nil
}

// freshReports returns the reports sorted by relay, without those of relays that
// no longer write. Ages are relative to the latest report, since the operator's
// clock may differ.
func freshReports(objects []platform.Object) []status.Report {
	var all []status.Report
	var latest clock.Millis
	for _, o := range objects {
		r, err := status.Parse(o.Value())
		if err != nil {
			continue // written by another program version
		}
		all = append(all, r)
		latest = max(latest, r.At())
	}
	fresh := slices.DeleteFunc(all, func(r status.Report) bool { return latest-r.At() > maxReportAge })
	slices.SortFunc(fresh, func(a, b status.Report) int { return strings.Compare(a.Relay(), b.Relay()) })
	return fresh
}

// processes returns the latest state of each process. Two relays report each
// process.
func (o *observation) processes() []status.Process {
	type reportedProcess struct {
		at      clock.Millis
		process status.Process
	}
	latest := map[string]reportedProcess{}
	for _, r := range o.reports {
		for _, p := range r.Processes() {
			if old, ok := latest[p.Instance()]; !ok || r.At() > old.at {
				latest[p.Instance()] = reportedProcess{r.At(), p}
			}
		}
	}
	all := make([]status.Process, 0, len(latest))
	for _, s := range latest {
		all = append(all, s.process)
	}
	slices.SortFunc(all, func(a, b status.Process) int { return strings.Compare(a.Instance(), b.Instance()) })
	return all
}

func (o *observation) print(t *tool) {
	w := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', 0)
	defer w.Flush()
	processes := o.processes()
	fmt.Fprintf(w, "version in force:\t%d\n", o.version)
	for _, v := range countVersions(processes) {
		fmt.Fprintf(w, "  held by:\t%d of %d processes\tversion %d\n", v.processes, len(o.instances), v.version)
	}
	fmt.Fprintf(w, "out of service:\t%s\n", listOrNone(o.out.Names()))
	fmt.Fprintf(w, "\nservice\tupstreams\tcold\theld\tcan bear\tleaving or out\n")
	for _, s := range o.services(processes) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", s.name, s.upstreams, s.cold, s.inFlight, s.limit, s.unavailable)
	}
	fmt.Fprintf(w, "\nduty\tholder\tfence\n")
	for _, r := range o.reports {
		fmt.Fprintf(w, "relay\t%s\t-\n", r.Relay())
	}
	for _, d := range o.duties.Objects() {
		holder := "malformed record"
		if r, err := duty.ParseRecord(d.Value()); err == nil {
			holder = cmp.Or(r.Holder(), "none")
		}
		fmt.Fprintf(w, "%s\t%s\t%d\n", d.Name(), holder, d.Version())
	}
}

func listOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// versionCount is the number of processes that have a version in force.
type versionCount struct {
	version   uint64
	processes int
}

// countVersions counts the processes by version in force, the highest version first.
func countVersions(processes []status.Process) []versionCount {
	counts := map[uint64]int{}
	for _, p := range processes {
		counts[p.ConfigurationVersion()]++
	}
	var all []versionCount
	for version, n := range counts {
		all = append(all, versionCount{version, n})
	}
	slices.SortFunc(all, func(a, b versionCount) int { return cmp.Compare(b.version, a.version) })
	return all
}

// serviceLoad is the total load of the upstreams of a service.
type serviceLoad struct {
	name        string
	upstreams   int
	cold        int
	inFlight    int
	limit       int // of the upstreams that accept new requests
	unavailable int // draining or out of service
}

// services returns the total load of each service, sorted by name.
func (o *observation) services(processes []status.Process) []serviceLoad {
	instanceDataCentres := map[string]string{}
	for _, i := range o.instances {
		instanceDataCentres[i.Name()] = i.DataCentre()
	}
	sums := map[string]*serviceLoad{}
	for _, p := range processes {
		l := p.Load()
		if l.Service() == "" {
			continue
		}
		s := sums[l.Service()]
		if s == nil {
			s = &serviceLoad{name: l.Service()}
			sums[l.Service()] = s
		}
		drained := o.out.InstanceDrained(p.Instance()) || o.out.DataCentreDrained(instanceDataCentres[p.Instance()])
		s.add(l, drained)
	}
	var all []serviceLoad
	for _, s := range sums {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b serviceLoad) int { return strings.Compare(a.name, b.name) })
	return all
}

func (s *serviceLoad) add(l status.Load, outOfService bool) {
	s.upstreams++
	s.inFlight += l.InFlight()
	if l.Draining() || outOfService {
		s.unavailable++
		return
	}
	s.limit += l.Limit()
	if l.Cold() {
		s.cold++
	}
}
