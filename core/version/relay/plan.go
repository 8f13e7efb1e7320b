package relay

import (
	"slices"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
)

const (
	// sourcesPerDataCentre leaves two readers of the platform when one terminates.
	sourcesPerDataCentre = 3
	// subscribersPerRelay limits the heartbeat traffic of a relay to about 12 KB/s.
	subscribersPerRelay = 64
	// subscriptionsPerProcess is the number of relays that a process subscribes to.
	subscriptionsPerProcess = 2
	// failedRelayBackoff is how long a failed relay is skipped.
	failedRelayBackoff = 5 * clock.Second
	// isolationTimeout is how long a process may be without a relay before it reads
	// the platform itself.
	isolationTimeout = 1 * clock.Second
)

// target is a process to subscribe to.
type target struct {
	name    string
	address string
}

// planner determines the tier of a process and the processes that it subscribes
// to. It does no I/O.
type planner struct {
	self        string
	address     string
	dataCentre  string
	contacts    []string
	failedUntil map[string]clock.Millis // by name or address, when the backoff ends
}

// tiers are the live processes of a data centre by tier. Drain flags are ignored:
// a drained data centre must still be notified when its flag is removed.
type tiers struct {
	sources []string // read the platform
	relays  []string // subscribe to sources; none in a small data centre
	leaves  []string // subscribe to relays, or to sources if there are none
}

// tiersOf divides the live processes of a data centre into tiers, ordered by
// rendezvous weight so that a process that terminates is replaced by the next.
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

// relayCount returns the number of relays needed for a data centre with the
// given number of processes, 0 if the sources suffice.
func relayCount(processes int) int {
	subscriptions := processes * subscriptionsPerProcess
	if subscriptions <= sourcesPerDataCentre*subscribersPerRelay {
		return 0
	}
	return (subscriptions + subscribersPerRelay - 1) / subscribersPerRelay
}

// quotaHolders counts the processes that share the rate limits of the platform.
type quotaHolders struct {
	sources   int // read the platform
	reporters int // write status reports
}

// countQuotaHolders counts over all data centres and returns at least 1 for each
// count.
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

// tier is the level of a process in the distribution tree, derived from the
// instance list.
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
// same data centre, then those that would replace them, then sources of other
// data centres, then the bootstrap contacts.
func (p *planner) targets(now clock.Millis, list []platform.Instance) []target {
	t := tiersOf(list, p.dataCentre)
	sources := rendezvous.Top("subscriber."+p.self, t.sources, len(t.sources))
	candidates := sources
	// A relay subscribes to sources only. Two relays subscribed to each other would
	// not detect that neither receives updates from the platform.
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

// withContacts adds bootstrap contacts while there are too few targets.
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

// remoteSources returns the sources of all other data centres.
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

// usableTargets returns the first candidates that are neither this process nor
// recently failed.
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

// markFailed makes targets skip a relay for failedRelayBackoff.
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
