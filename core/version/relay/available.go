package relay

import (
	"goldcrestshore/core/connection/platform"
)

// AcceptsWork reports whether an instance is live and not drained.
func (s *Snapshot) AcceptsWork(i platform.Instance) bool {
	return i.State() == platform.Live && !s.IsDrained(i.Name(), i.DataCentre())
}

// Available reports whether a service and all its dependencies have an agent that
// accepts new work. Models and adapters do not run and are always available.
func (s *Snapshot) Available(service string) bool {
	return s.available(service, map[string]bool{})
}

func (s *Snapshot) available(name string, seen map[string]bool) bool {
	if seen[name] {
		return true
	}
	seen[name] = true
	service, ok := s.configuration.Service(name)
	if !ok {
		return true
	}
	if !s.AnyAgentAcceptsWork(name) {
		return false
	}
	for _, dependency := range service.DependsOn() {
		if !s.available(dependency, seen) {
			return false
		}
	}
	return true
}

// AnyAgentAcceptsWork reports whether a service has an agent that accepts new
// work.
func (s *Snapshot) AnyAgentAcceptsWork(service string) bool {
	for _, i := range s.instances {
		if i.Role() == platform.RoleAgent && i.Service() == service && s.AcceptsWork(i) {
			return true
		}
	}
	return false
}
