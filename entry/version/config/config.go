// Package config holds one version of the configuration as an entry uses it on
// each request: routes by host and path, services, customers by key, limits.
package config

import (
	"cmp"
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
)

// Repeat tells what may be done again with a request of a route.
type Repeat int

// Kinds of requests by what may be repeated.
const (
	// AtMostOnce is for requests that at most one upstream may run.
	AtMostOnce Repeat = iota
	// Idempotent is for requests that several upstreams may run.
	Idempotent
	// Resumable is for streams that another upstream may continue after the
	// last event that the caller received.
	Resumable
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route tells how requests of one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Shares     []Share
	// Stream tells that answers are event streams.
	Stream bool
	Repeat Repeat
	// Timeout bounds how long a caller waits for the whole answer.
	Timeout clock.Millis
	// Objective is the time within which the answer, or the first event of a
	// stream, should arrive.
	Objective clock.Millis
	// EventGapObjective is the longest pause between events of a stream.
	EventGapObjective clock.Millis
	// MaxUpstreams bounds the upstreams that may run one request.
	MaxUpstreams int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Anonymous tells that no customer key is needed.
	Anonymous bool
}

// Engine describes how the upstreams of a model service compute. All ranks
// of a group advance together, one pass at a time.
type Engine struct {
	// Layers is the number of expert layers that a map divides.
	Layers int
	// Experts is the number of experts of a layer.
	Experts int
	// SlotsPerRank is how many experts of a layer a rank holds.
	SlotsPerRank int
	// SpareSlots is how many experts of a layer one change may bring to a rank.
	SpareSlots int
	// ExpertMB is the size of an expert's weights, and LinkMbps the rate at which a
	// rank copies them.
	ExpertMB float64
	LinkMbps float64
}

// CopyMillis is how long a rank takes to copy one expert, 0 when unknown.
func (e *Engine) CopyMillis() float64 {
	if e.LinkMbps <= 0 {
		return 0
	}
	return e.ExpertMB * bitsPerByte * float64(clock.Second) / e.LinkMbps
}

const bitsPerByte = 8

// Service describes the upstreams behind a name.
type Service struct {
	Name           string
	MaxConnections int
	// ColdRequestsPerSecond is what a cold upstream bears from all entries.
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is one holder of keys.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces that of the route when it is not negative.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Config is one version of the configuration. It does not change.
type Config struct {
	version     int64
	routes      map[string][]*Route
	services    map[string]*Service
	customers   map[string]*Customer
	requiresKey bool
	limits      Limits
}

// New returns a configuration of the parts given.
func New(version int64, routes []Route, services []Service, customers []Customer, limits Limits) *Config {
	c := &Config{
		version:     version,
		routes:      make(map[string][]*Route),
		services:    make(map[string]*Service),
		customers:   make(map[string]*Customer),
		requiresKey: len(customers) > 0,
		limits:      limits,
	}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range customers {
		for _, key := range customers[i].Keys {
			c.customers[key] = &customers[i]
		}
	}
	return c
}

// Version returns the version; versions only rise.
func (c *Config) Version() int64 { return c.version }

// RequiresKey tells whether routes need a customer's key unless they are anonymous.
func (c *Config) RequiresKey() bool { return c.requiresKey }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// Customer returns the holder of a key, nil when there is none.
func (c *Config) Customer(key string) *Customer { return c.customers[key] }

// Service returns a service by name, nil when there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name; callers must not change the map.
func (c *Config) Services() map[string]*Service { return c.services }

// Match returns the route of the host with the longest prefix of the path, nil
// when none matches.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service that takes a request; draw is uniform in [0,1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
