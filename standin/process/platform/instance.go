package platform

import (
	"sort"
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/process/lagged"
)

// Instance is one item of the instance list.
type Instance struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	State      string `json:"state"`
}

// roster is the list of instances. Readers receive a change only after the lag.
type roster struct {
	clock *clock.Clock

	mu        sync.Mutex
	instances map[string]*lagged.Value[*Instance]
}

func newRoster(c *clock.Clock) *roster {
	return &roster{clock: c, instances: map[string]*lagged.Value[*Instance]{}}
}

// set records the current state of an instance; nil removes it.
func (r *roster) set(name string, state *Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instances[name] == nil {
		r.instances[name] = &lagged.Value[*Instance]{}
	}
	r.instances[name].Set(r.clock.Now(), state)
}

// list returns the instances as they were lag ago, sorted by name.
func (r *roster) list(lag clock.Millis) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Instance{}
	for _, value := range r.instances {
		if state := value.At(r.clock.Now() - lag); state != nil {
			out = append(out, *state)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
