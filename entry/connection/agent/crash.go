package agent

import "goldcrestshore/core/connection/frame"

// crashed passes an agent's report of a crash on.
func (l *Link) crashed(m *frame.Crash) {
	if l.OnCrash != nil {
		l.OnCrash(l.Name, m)
	}
}

// Named returns the link to an upstream that takes work of the service, nil if
// it does not.
func (p *Pool) Named(name, service string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[name]; l != nil && p.usable(l, service) {
		return l.Link
	}
	return nil
}
