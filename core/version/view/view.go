// Package view holds what a process knows of the system at one time: the
// configuration in force, the out marks and the list of instances.
package view

import (
	"strings"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/text"
)

// Prefixes of the names of out marks in the platform.
const (
	dataCentrePrefix = "datacentre."
	instancePrefix   = "instance."
)

// View is immutable; a process replaces it as a whole.
type View struct {
	version   uint64
	text      *text.Text
	out       map[string]bool
	instances []platform.Instance
}

// New returns a view of the configuration at a platform version. Out marks are
// the names of the platform's objects of the kind out.
func New(version uint64, t *text.Text, out []string, instances []platform.Instance) *View {
	v := &View{version: version, text: t, out: make(map[string]bool, len(out)), instances: instances}
	for _, name := range out {
		v.out[name] = true
	}
	return v
}

// Version returns the platform version of the configuration, 0 for none.
func (v *View) Version() uint64 { return v.version }

// Text returns the configuration, nil for none.
func (v *View) Text() *text.Text { return v.text }

// Instances returns the instance list; callers must not change it.
func (v *View) Instances() []platform.Instance { return v.instances }

// DataCentreOut tells whether operators have taken a data centre out.
func (v *View) DataCentreOut(name string) bool { return v.out[dataCentrePrefix+name] }

// InstanceOut tells whether operators have taken an instance out.
func (v *View) InstanceOut(name string) bool { return v.out[instancePrefix+name] }

// Takes tells whether an instance may be given new work.
func (v *View) Takes(i platform.Instance) bool {
	return i.State() == platform.Live && !v.DataCentreOut(i.DataCentre()) && !v.InstanceOut(i.Name())
}

// Agents returns the agents of a service, whether or not they take new work.
func (v *View) Agents(service string) []platform.Instance {
	var agents []platform.Instance
	for _, i := range v.instances {
		if i.Role() == platform.RoleAgent && i.Service() == service {
			agents = append(agents, i)
		}
	}
	return agents
}

// Available tells whether a service and everything it depends on has an agent
// that takes new work. Models and adapters do not run and are always available.
func (v *View) Available(service string) bool {
	return v.available(service, map[string]bool{})
}

func (v *View) available(name string, seen map[string]bool) bool {
	if seen[name] {
		return true
	}
	seen[name] = true
	s, ok := v.text.Service(name)
	if !ok {
		return true
	}
	if !v.anyTakes(name) {
		return false
	}
	for _, needed := range s.DependsOn() {
		if !v.available(needed, seen) {
			return false
		}
	}
	return true
}

func (v *View) anyTakes(service string) bool {
	for _, i := range v.Agents(service) {
		if v.Takes(i) {
			return true
		}
	}
	return false
}

// OutNames returns the names of the out marks without order.
func (v *View) OutNames() []string {
	names := make([]string, 0, len(v.out))
	for name := range v.out {
		names = append(names, strings.Clone(name))
	}
	return names
}
