package configuration

import (
	"slices"
	"strings"
)

// nameSet maps a name to the offset of its first use.
type nameSet map[string]int

// checkUnique adds a name to the set and reports it if it is already there.
func (p *parser) checkUnique(seen nameSet, at locatedName, what string) {
	if at.name == "" {
		return // the decoder has reported it
	}
	if first, taken := seen[at.name]; taken {
		p.add(at.offset, ErrDuplicateName, "%s %q, first used on line %d", what, at.name, p.line(first))
		return
	}
	seen[at.name] = at.offset
}

// checkService checks that the fields of a service are consistent.
func (p *parser) checkService(d *draftService, s *Service) {
	switch s.kind {
	case Model:
		if len(d.routes) > 0 {
			p.add(d.routes[0].offset, ErrValue, "a model service must not have routes; callers select it by the field model")
		}
	case Plain:
		if len(d.routes) == 0 {
			p.add(d.offset, ErrMissingField, "a plain service requires \"routes\"")
		}
	default:
		p.add(max(d.kind.offset, d.offset), ErrValue, "kind %q, must be %q or %q", s.kind, Model, Plain)
	}
	if s.coldLimit > s.warmLimit {
		p.add(d.offset, ErrValue, "coldLimit %d exceeds warmLimit %d", s.coldLimit, s.warmLimit)
	}
	if (s.bytesPerToken == 0) != (s.memoryBudget == 0) {
		p.add(d.offset, ErrValue, "memoryPerTokenBytes and memoryBudgetBytes must be set together")
	}
}

// checkRoute reports methods and paths that no request can have.
func (p *parser) checkRoute(r draftRoute) {
	if r.method.name == "" || strings.Trim(r.method.name, methodCharacters) != "" {
		p.add(max(r.method.offset, r.offset), ErrValue, "method %q must consist of upper-case letters", r.method.name)
	}
	if !validPath(r.path.name) {
		p.add(max(r.path.offset, r.offset), ErrValue, "path %q must be absolute and clean, with * only as the last segment", r.path.name)
	}
}

const methodCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"

// validPath reports whether a path is absolute and clean (no empty, "." or ".."
// segments) and has "*" only as its last segment.
func validPath(path string) bool {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok || strings.ContainsAny(rest, "?#\\ \t\r\n") {
		return false
	}
	rest = strings.TrimSuffix("/"+rest, wildcardSuffix)
	if strings.Contains(rest, "*") || strings.Contains(rest, "//") {
		return false
	}
	segments := strings.Split(rest, "/")
	return !slices.Contains(segments, ".") && !slices.Contains(segments, "..")
}

// checkDependencies reports dependencies on unknown services and cycles.
func (p *parser) checkDependencies() {
	byName := make(map[string]*draftService, len(p.services))
	for i := range p.services {
		byName[p.services[i].name.name] = &p.services[i]
	}
	for i := range p.services {
		for _, dep := range p.services[i].dependsOn {
			if byName[dep.name] == nil {
				p.add(dep.offset, ErrUnknownName, "service %q", dep.name)
			}
		}
	}
	detector := cycleDetector{p, byName, make(map[string]visitState, len(byName))}
	for i := range p.services {
		detector.visit(p.services[i].name.name, nil)
	}
}

// visitState is the state of a service in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	inProgress
	visited
)

// cycleDetector finds dependency cycles by depth-first search: a dependency on a
// service that is in progress closes a cycle.
type cycleDetector struct {
	p      *parser
	byName map[string]*draftService
	state  map[string]visitState
}

func (d *cycleDetector) visit(name string, path []string) {
	s := d.byName[name]
	if s == nil || d.state[name] == visited {
		return
	}
	d.state[name] = inProgress
	path = append(path, name)
	for _, dep := range s.dependsOn {
		if d.state[dep.name] == inProgress {
			cycle := append(slices.Clone(path[slices.Index(path, dep.name):]), dep.name)
			d.p.add(dep.offset, ErrCycle, "%s", strings.Join(cycle, " -> "))
			continue
		}
		d.visit(dep.name, path)
	}
	d.state[name] = visited
}
