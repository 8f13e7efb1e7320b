package relay

import (
	"slices"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
)

const (
	// relaysPerDataCentre keeps two relays when one dies.
	relaysPerDataCentre = 3
	// subscribersPerRelay bounds a relay's heartbeats to a few KB/s; larger data
	// centres get more relays.
	subscribersPerRelay = 64
	// subscriptions is the number of relays that a process listens to.
	subscriptions = 2
	// failureMemory is how long a relay that failed is passed over.
	failureMemory = 5 * clock.Second
	// relaysHeardAlone is how long a process goes without any relay before it
	// asks the platform itself.
	relaysHeardAlone = 1 * clock.Second
)

// target is a process to subscribe to.
type target struct {
	name    string
	address string
}

// planner decides who relays and whom to subscribe to. It is pure.
type planner struct {
	self       string
	address    string
	dataCentre string
	contacts   []string
	failed     map[string]clock.Millis // when the failure is forgotten
}

// relays returns the relays of a data centre in the order of their weight,
// followed by the candidates that replace them. Marks do not matter here: a
// data centre that is out must still learn that it is back in.
func relays(list []platform.Instance, dataCentre string) (chosen, spare []string) {
	var names []string
	for _, i := range list {
		if i.DataCentre() == dataCentre && i.State() == platform.Live && i.Address() != "" {
			names = append(names, i.Name())
		}
	}
	ordered := rendezvous.Top("relay."+dataCentre, names, len(names))
	n := min(relayCount(len(names)), len(ordered))
	return ordered[:n], ordered[n:]
}

// relayCount returns the number of relays for a number of processes.
func relayCount(processes int) int {
	needed := (processes*subscriptions + subscribersPerRelay - 1) / subscribersPerRelay
	return max(relaysPerDataCentre, needed)
}

// fleetRelays returns the number of relays over all data centres, at least 1.
func fleetRelays(list []platform.Instance) int {
	perDataCentre := map[string]int{}
	for _, i := range list {
		perDataCentre[i.DataCentre()]++
	}
	total := 0
	for _, n := range perDataCentre {
		total += min(relayCount(n), n)
	}
	return max(total, 1)
}

// isRelay tells whether the list makes this process a relay.
func (p *planner) isRelay(list []platform.Instance) bool {
	chosen, _ := relays(list, p.dataCentre)
	return slices.Contains(chosen, p.self)
}

// targets returns the processes to subscribe to: relays of the own data centre,
// then its spare candidates, then relays elsewhere, then the first contacts.
func (p *planner) targets(now clock.Millis, list []platform.Instance) []target {
	chosen, spare := relays(list, p.dataCentre)
	order := append(rendezvous.Top("subscriber."+p.self, chosen, len(chosen)), spare...)
	if len(order) <= subscriptions {
		order = append(order, p.elsewhere(list)...)
	}
	found := p.usable(now, order, addresses(list))
	for _, address := range p.contacts {
		if len(found) >= subscriptions {
			break
		}
		known := slices.ContainsFunc(found, func(t target) bool { return t.address == address })
		if known || address == p.address || p.hasFailed(now, address) {
			continue
		}
		found = append(found, target{address, address})
	}
	return found
}

// elsewhere returns the relays of the other data centres.
func (p *planner) elsewhere(list []platform.Instance) []string {
	var names []string
	seen := map[string]bool{p.dataCentre: true}
	for _, i := range list {
		if !seen[i.DataCentre()] {
			seen[i.DataCentre()] = true
			chosen, _ := relays(list, i.DataCentre())
			names = append(names, chosen...)
		}
	}
	return rendezvous.Top("subscriber."+p.self, names, len(names))
}

// usable returns the first names that are neither this process nor failed.
func (p *planner) usable(now clock.Millis, order []string, address map[string]string) []target {
	var found []target
	for _, name := range order {
		if len(found) == subscriptions {
			break
		}
		if name != p.self && !p.hasFailed(now, name) {
			found = append(found, target{name, address[name]})
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

// fail passes over a relay for a while.
func (p *planner) fail(now clock.Millis, name string) {
	if p.failed == nil {
		p.failed = map[string]clock.Millis{}
	}
	p.failed[name] = now + failureMemory
	for other, until := range p.failed {
		if until <= now {
			delete(p.failed, other)
		}
	}
}

func (p *planner) hasFailed(now clock.Millis, name string) bool { return p.failed[name] > now }
