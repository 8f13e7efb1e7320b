package agent

import (
	"math/rand/v2"
	"slices"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/route"
)

// follow brings the route table to the instance list and the out marks of v. It
// must be called with mu held.
func (p *Pool) follow(v *relay.Snapshot) {
	if p.table == nil {
		p.table = route.New(p.Self.Instance(), p.Self.DataCentre(), rand.New(rand.NewPCG(p.Self.Incarnation(), 0)))
	}
	if v == p.followed {
		return
	}
	p.followed = v
	var list []route.Upstream
	var out []string
	for _, i := range v.Instances() {
		if i.Role() != platform.RoleAgent {
			continue
		}
		list = append(list, route.NewUpstream(i.Name(), i.Service(), i.DataCentre()))
		if !v.Takes(i) {
			out = append(out, i.Name())
		}
	}
	now := p.Clock.Now()
	p.table.Apply(now, route.NewList(list))
	p.table.Apply(now, route.NewOutMarks(nil, out))
}

// Note tells the route table what happened to an upstream or a request.
func (p *Pool) Note(e route.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table != nil {
		p.table.Apply(p.Clock.Now(), e)
	}
}

// Choose returns the link to the upstream that the route table chooses for r
// among those not tried yet, nil for none. When all are full, the request goes
// to the one with the fewest own requests: it waits at the agent for a short
// time, or is refused there as not run.
func (p *Pool) Choose(r route.Request, tried map[string]bool) (*Link, route.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(p.View())
	names := make([]string, 0, len(tried))
	for name := range tried {
		names = append(names, name)
	}
	choice, err := p.table.Choose(p.Clock.Now(), r, names)
	if l := p.links[choice.Upstream()]; err == nil && l != nil && p.usable(l, r.Service()) {
		return l.Link, choice
	}
	l := p.fewest(r.Service(), tried)
	if l == nil {
		return nil, route.Choice{}
	}
	return l.Link, route.Named(l.Name)
}

// fewest returns the usable member with the fewest own requests, nil for none.
func (p *Pool) fewest(service string, tried map[string]bool) *member {
	var names []string
	for name, l := range p.links {
		if !tried[name] && p.usable(l, service) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fewest *member
	for _, name := range names {
		if l := p.links[name]; fewest == nil || l.Open() < fewest.Open() {
			fewest = l
		}
	}
	return fewest
}
