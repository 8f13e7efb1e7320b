// Package configuration parses and validates the operators' configuration, JSON with
// comments, into an immutable value.
package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"slices"

	"goldcrestshore/core/process/clock"
)

// MaxBytes is the maximum size of a configuration. The platform stores at most
// 1 MB per value; the rest is reserved for the write ID that goldcrestctl appends.
const MaxBytes = 900 << 10

// Kind is how callers address a service.
type Kind string

// Kinds of services.
const (
	Model Kind = "model" // POST /v1/chat/completions with the service as model
	Plain Kind = "plain" // the methods and paths of its routes
)

// ModelMethod and ModelPath are the route that all model services share.
const (
	ModelMethod = "POST"
	ModelPath   = "/v1/chat/completions"
)

// Configuration is a valid configuration. It is immutable.
type Configuration struct {
	hash        uint64
	dataCentres []*DataCentre
	services    []*Service
	customers   []*Customer
	models      []string
	adapters    []*Adapter

	serviceByName     map[string]*Service
	customersByDigest map[uint64][]keyEntry
	routes            routeTable
}

// keyEntry is a key hash of a customer in the index of Customer.
type keyEntry struct {
	digest   [sha256.Size]byte
	customer *Customer
}

// Hash returns the xxhash64 of the bytes that were parsed.
func (c *Configuration) Hash() uint64 { return c.hash }

// DataCentres returns the data centres in the order of the configuration.
func (c *Configuration) DataCentres() []*DataCentre { return slices.Clone(c.dataCentres) }

// Services returns the services in the order of the configuration.
func (c *Configuration) Services() []*Service { return slices.Clone(c.services) }

// Customers returns the customers in the order of the configuration.
func (c *Configuration) Customers() []*Customer { return slices.Clone(c.customers) }

// Models returns the names of the models.
func (c *Configuration) Models() []string { return slices.Clone(c.models) }

// Adapters returns the adapters in the order of the configuration.
func (c *Configuration) Adapters() []*Adapter { return slices.Clone(c.adapters) }

// Service returns the service with this name.
func (c *Configuration) Service(name string) (*Service, bool) {
	s, ok := c.serviceByName[name]
	return s, ok
}

// Customer returns the customer that a caller's key belongs to. It looks the key
// up by a prefix of its SHA-256 digest, which callers cannot choose, and compares
// the whole digest in constant time.
func (c *Configuration) Customer(key string) (*Customer, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *Customer
	for _, k := range c.customersByDigest[digestPrefix(digest)] {
		if subtle.ConstantTimeCompare(k.digest[:], digest[:]) == 1 {
			found = k.customer
		}
	}
	return found, found != nil
}

func digestPrefix(digest [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

// Route returns the plain service that serves a method and path, and the matching
// route. An exact path takes precedence over a prefix, and a longer prefix over a
// shorter one.
func (c *Configuration) Route(method, path string) (*Service, Route, bool) {
	return c.routes.find(method, path)
}

// DataCentre is a set of instances that can be drained as a whole.
type DataCentre struct {
	name   string
	region string
}

// Name returns the name.
func (d *DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d *DataCentre) Region() string { return d.region }

// Service is one service and its limits.
type Service struct {
	name          string
	kind          Kind
	routes        []Route
	table         routeTable
	dependsOn     []string
	objective     Objective
	coldLimit     int
	warmLimit     int
	bytesPerToken int64
	memoryBudget  int64
	checksFencing bool
	groupRanks    int
}

// Name returns the name.
func (s *Service) Name() string { return s.name }

// Kind returns how callers address the service.
func (s *Service) Kind() Kind { return s.kind }

// Routes returns the routes of a plain service.
func (s *Service) Routes() []Route { return slices.Clone(s.routes) }

// Route returns the route of this service that matches a method and path.
func (s *Service) Route(method, path string) (Route, bool) {
	_, r, ok := s.table.find(method, path)
	return r, ok
}

// DependsOn returns the names of the services that this service depends on.
func (s *Service) DependsOn() []string { return slices.Clone(s.dependsOn) }

// Objective returns the service level objective.
func (s *Service) Objective() Objective { return s.objective }

// ColdLimit returns the limit of requests in flight at a cold upstream.
func (s *Service) ColdLimit() int { return s.coldLimit }

// WarmLimit returns the limit of requests in flight at a warm upstream.
func (s *Service) WarmLimit() int { return s.warmLimit }

// MemoryPerTokenBytes returns the upstream memory that a token takes, or 0 if
// memory is not reserved.
func (s *Service) MemoryPerTokenBytes() int64 { return s.bytesPerToken }

// MemoryBudgetBytes returns the upstream memory available to requests in flight,
// or 0 if memory is not reserved.
func (s *Service) MemoryBudgetBytes() int64 { return s.memoryBudget }

// ChecksFencing reports whether the upstream itself rejects stale fencing tokens.
func (s *Service) ChecksFencing() bool { return s.checksFencing }

// GroupRanks returns the number of ranks in a group that advances in lockstep, or
// 0 if the service has no groups.
func (s *Service) GroupRanks() int { return s.groupRanks }

// Objective is a service level objective. A duration of 0 is not part of it.
type Objective struct {
	firstToken    clock.Millis
	betweenTokens clock.Millis
	percent       float64
}

// FirstToken returns the target for the time to the first token or, for a plain
// service, to the complete response.
func (o Objective) FirstToken() clock.Millis { return o.firstToken }

// BetweenTokens returns the target for the time between two tokens.
func (o Objective) BetweenTokens() clock.Millis { return o.betweenTokens }

// Percent returns the percentage of requests that must meet the targets.
func (o Objective) Percent() float64 { return o.percent }

// Customer is an organisation or department that calls services.
type Customer struct {
	name             string
	weight           int
	rate             float64
	concurrencyLimit int
	priority         int
}

// Name returns the name.
func (c *Customer) Name() string { return c.name }

// Weight returns the relative share of capacity under saturation, at least 1.
func (c *Customer) Weight() int { return c.weight }

// RequestsPerSecond returns the rate limit across all entries, or 0 for none.
func (c *Customer) RequestsPerSecond() float64 { return c.rate }

// ConcurrencyLimit returns the limit of requests in flight across all entries, or
// 0 for none.
func (c *Customer) ConcurrencyLimit() int { return c.concurrencyLimit }

// Priority returns the priority; higher priorities are served first.
func (c *Customer) Priority() int { return c.priority }

// Adapter is a variant of a model.
type Adapter struct {
	name  string
	model string
}

// Name returns the name.
func (a *Adapter) Name() string { return a.name }

// Model returns the name of the model that the adapter applies to.
func (a *Adapter) Model() string { return a.model }
