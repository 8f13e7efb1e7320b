package relay

import (
	"slices"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
)

const (
	// sourcesPerDataCentre keeps two readers of the platform when one dies.
	sourcesPerDataCentre = 3
	// subscribersPerRelay bounds the heartbeats of a relay to about 12 KB/s.
	subscribersPerRelay = 64
	// subscriptionsPerProcess is the number of relays that a process listens to.
	subscriptionsPerProcess = 2
	// failedRelayBackoff is how long a relay that failed is passed over.
	failedRelayBackoff = 5 * clock.Second
	// isolationTimeout is how long a process goes without any relay before it asks the
	// platform itself.
	isolationTimeout = 1 * clock.Second
)

// target is a process to subscribe to.
type target struct {
	name    string
	address string
}

// planner decides who relays and whom to subscribe to. It is pure.
type planner struct {
	self        string
	address     string
	dataCentre  string
	contacts    []string
	failedUntil map[string]clock.Millis // when the failure is forgotten
}

// tiers are the live processes of a data centre by their part. Marks do not
// matter here: a data centre that is out must still learn that it is back in.
type tiers struct {
	sources []string // read the platform
	relays  []string // listen to sources; none in a small data centre
	leaves  []string // listen to relays, or to sources when there are none
}

// tiersOf orders the processes of a data centre by rendezvous weight, so that a
// process that dies is replaced by the next.
func tiersOf(list []platform.Instance, dataCentre string) tiers {
	var names []string
	for _, i := range list {
		if i.DataCentre() == dataCentre && i.State() == platform.Live && i.Address() != "" {
			names = append(names, i.Name())
		}
	}
	ordered := rendezvous.Top("relay."+dataCentre, names, len(names))
	sourcesEnd := min(sourcesPerDataCentre, len(ordered))
	relaysEnd := min(sourcesEnd+relayCount(len(ordered)), len(ordered))
	return tiers{ordered[:sourcesEnd], ordered[sourcesEnd:relaysEnd], ordered[relaysEnd:]}
}

// relayCount returns the number of relays between the sources and a number of
// processes.
func relayCount(processes int) int {
	subscriptions := processes * subscriptionsPerProcess
	if subscriptions <= sourcesPerDataCentre*subscribersPerRelay {
		return 0
	}
	return (subscriptions + subscribersPerRelay - 1) / subscribersPerRelay
}

// quotaHolders counts the processes that share the parts of the platform's rates.
type quotaHolders struct {
	sources   int // read the platform
	reporters int // write status reports
}

// countQuotaHolders counts over all data centres, at least one of each.
func countQuotaHolders(list []platform.Instance) quotaHolders {
	perDataCentre := map[string]int{}
	for _, i := range list {
		perDataCentre[i.DataCentre()]++
	}
	var count quotaHolders
	for _, n := range perDataCentre {
		sources := min(sourcesPerDataCentre, n)
		count.sources += sources
		count.reporters += sources + min(relayCount(n), n-sources)
	}
	return quotaHolders{max(count.sources, 1), max(count.reporters, 1)}
}

// tier is what the list makes of this process.
type tier int

const (
	leafTier tier = iota
	relayTier
	sourceTier
)

func (p *planner) tier(list []platform.Instance) tier {
	t := tiersOf(list, p.dataCentre)
	switch {
	case slices.Contains(t.sources, p.self):
		return sourceTier
	case slices.Contains(t.relays, p.self):
		return relayTier
	}
	return leafTier
}

// targets returns the processes to subscribe to: those of the tier above in the
// own data centre, then those that would replace them, then sources elsewhere,
// then the first contacts.
func (p *planner) targets(now clock.Millis, list []platform.Instance) []target {
	t := tiersOf(list, p.dataCentre)
	sources := rendezvous.Top("subscriber."+p.self, t.sources, len(t.sources))
	candidates := sources
	// A relay listens to sources only. Two relays that listened to each other
	// would not notice that neither hears the platform.
	if !slices.Contains(t.relays, p.self) {
		relays := rendezvous.Top("subscriber."+p.self, t.relays, len(t.relays))
		if slices.Contains(t.sources, p.self) {
			relays = nil
		}
		candidates = slices.Concat(relays, sources, t.leaves)
	}
	if len(t.sources) <= subscriptionsPerProcess {
		candidates = append(candidates, p.remoteSources(list)...)
	}
	return p.withContacts(now, p.usableTargets(now, candidates, addresses(list)))
}

// withContacts adds first contacts while there are too few targets.
func (p *planner) withContacts(now clock.Millis, found []target) []target {
	for _, address := range p.contacts {
		if len(found) >= subscriptionsPerProcess {
			break
		}
		alreadyChosen := slices.ContainsFunc(found, func(t target) bool { return t.address == address })
		if alreadyChosen || address == p.address || p.recentlyFailed(now, address) {
			continue
		}
		found = append(found, target{address, address})
	}
	return found
}

// remoteSources returns the sources of the other data centres.
func (p *planner) remoteSources(list []platform.Instance) []string {
	var names []string
	seen := map[string]bool{p.dataCentre: true}
	for _, i := range list {
		if !seen[i.DataCentre()] {
			seen[i.DataCentre()] = true
			names = append(names, tiersOf(list, i.DataCentre()).sources...)
		}
	}
	return rendezvous.Top("subscriber."+p.self, names, len(names))
}

// usableTargets returns the first names that are neither this process nor failed.
func (p *planner) usableTargets(now clock.Millis, candidates []string, addressOf map[string]string) []target {
	var found []target
	for _, name := range candidates {
		if len(found) == subscriptionsPerProcess {
			break
		}
		if name != p.self && !p.recentlyFailed(now, name) {
			found = append(found, target{name, addressOf[name]})
		}
	}
	return found
}

func addresses(list []platform.Instance) map[string]string {
	found := make(map[string]string, len(list))
	for _, i := range list {
		found[i.Name()] = i.Address()
	}
	return found
}

// markFailed passes over a relay for a while.
func (p *planner) markFailed(now clock.Millis, name string) {
	if p.failedUntil == nil {
		p.failedUntil = map[string]clock.Millis{}
	}
	p.failedUntil[name] = now + failedRelayBackoff
	for other, until := range p.failedUntil {
		if until <= now {
			delete(p.failedUntil, other)
		}
	}
}

func (p *planner) recentlyFailed(now clock.Millis, name string) bool {
	return p.failedUntil[name] > now
}
