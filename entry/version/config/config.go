// Package config holds one version of the configuration, indexed for use on each
// request: routes by host and path, services, customers by key, and limits.
package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
)

// Retry is the retry policy of a route.
type Retry int

// Retry policies.
const (
	// AtMostOnce applies to requests that at most one upstream may run.
	AtMostOnce Retry = iota
	// Idempotent applies to requests that several upstreams may run.
	Idempotent
	// Resumable applies to streams that another upstream may continue after the
	// last event that the caller received.
	Resumable
)

// Share is the share of a route's requests that goes to a service. Weight is
// relative to the other shares of the route; a share without weight gets nothing.
type Share struct {
	Service string
	Weight  float64
}

// Route describes how requests for one host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Shares     []Share
	// Stream reports whether responses are event streams.
	Stream bool
	Retry  Retry
	// Timeout bounds how long a caller waits for the whole response.
	Timeout clock.Millis
	// Objective is the time within which the response, or the first event of a
	// stream, should arrive.
	Objective clock.Millis
	// EventGapObjective is the longest time that should pass between two events of
	// a stream.
	EventGapObjective clock.Millis
	// MaxUpstreams bounds the number of upstreams that may run one request.
	MaxUpstreams int
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Anonymous reports whether requests need no customer key.
	Anonymous bool
}

// Engine describes the inference engine of a model service. All ranks of a group
// advance together, one forward pass at a time.
type Engine struct {
	// Layers is the number of layers whose experts a map distributes over ranks.
	Layers int
	// Experts is the number of experts per layer.
	Experts int
	// SlotsPerRank is how many experts of a layer a rank can hold.
	SlotsPerRank int
	// SpareSlots is how many experts of a layer one map change may add to a rank.
	SpareSlots int
	// ExpertMB is the size of an expert's weights in megabytes, and LinkMbps the
	// rate at which a rank copies them in megabits per second.
	ExpertMB float64
	LinkMbps float64
	// FormTime is how long a group takes to open once all its ranks are present, 0
	// if unknown.
	FormTime clock.Millis
}

// CopyMillis returns how long a rank takes to copy one expert, 0 if unknown.
func (e *Engine) CopyMillis() float64 {
	if e.LinkMbps <= 0 {
		return 0
	}
	return e.ExpertMB * bitsPerByte * float64(clock.Second) / e.LinkMbps
}

const bitsPerByte = 8

// Service describes the upstreams behind a name.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an upstream accepts, 0 if it is
	// not known.
	MaxConnections int
	// ColdRequestsPerSecond is the rate that a cold upstream can take from all
	// entries together.
	ColdRequestsPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is one customer and its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides that of the route unless it is NoPriority.
	Priority int
}

// NoPriority is the priority of a customer that has none of its own.
const NoPriority = -1

// Limits bounds what a caller may send and how long it may take. Sizes that are not
// limited are Unlimited; a time of 0 is not limited by the configuration.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  clock.Millis
	IdleTimeout    clock.Millis
}

// Unlimited is a size that the configuration does not limit.
const Unlimited = math.MaxInt

// Config is one version of the configuration. It is immutable.
type Config struct {
	version int64
	// routes holds the routes by canonical host, those with the longest path prefixes first.
	routes      map[string][]*Route
	services    map[string]*Service
	customers   map[string]*Customer
	requiresKey bool
	limits      Limits
	problems    Problems
}

// Parts are the parts of a configuration.
type Parts struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// RequiresKey is set if routes that are not anonymous need a customer key, also
	// while there is no customer.
	RequiresKey bool
	Limits      Limits
	// Problems are those of the text that the parts were decoded from.
	Problems Problems
}

// New returns a configuration that consists of the given parts.
func New(p Parts) *Config {
	c := &Config{
		version:     p.Version,
		routes:      make(map[string][]*Route),
		services:    make(map[string]*Service),
		customers:   make(map[string]*Customer),
		requiresKey: p.RequiresKey,
		limits:      p.Limits,
		problems:    p.Problems,
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := canonicalHost(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, byPathPrefix)
		c.addUnusedRoutes(list)
	}
	for i := range p.Services {
		c.services[p.Services[i].Name] = &p.Services[i]
	}
	for i := range p.Customers {
		for _, key := range p.Customers[i].Keys {
			c.customers[key] = &p.Customers[i]
		}
	}
	return c
}

// byPathPrefix compares routes of one host: those with longer path prefixes come first, and equal ones
// are beside each other.
func byPathPrefix(a, b *Route) int {
	return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.PathPrefix, b.PathPrefix))
}

// addUnusedRoutes adds a problem for each route of a host, in the order of byPathPrefix, that has the path
// prefix of an earlier one.
func (c *Config) addUnusedRoutes(routes []*Route) {
	for i := 1; i < len(routes); i++ {
		if routes[i].PathPrefix == routes[i-1].PathPrefix {
			detail := fmt.Sprintf("has the host and path prefix of route %q and is not used", routes[i-1].Name)
			c.problems.Add(NewProblem(fmt.Sprintf("route %q", routes[i].Name), "", detail))
		}
	}
}

// Version returns the version; versions only increase.
func (c *Config) Version() int64 { return c.version }

// RequiresKey reports whether routes that are not anonymous need a customer key.
func (c *Config) RequiresKey() bool { return c.requiresKey }

func (c *Config) Limits() Limits { return c.limits }

// Problems returns the values that are not in force as they are written.
func (c *Config) Problems() *Problems { return &c.problems }

// Customer returns the customer that a key belongs to, or nil.
func (c *Config) Customer(key string) *Customer { return c.customers[key] }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name; callers must not change the map.
func (c *Config) Services() map[string]*Service { return c.services }

// Match returns the route of the host whose path prefix is the longest that
// matches, or nil; of equal routes the first one. It ignores the port and the case of
// the host.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service for a request by the weights of the shares, or an empty
// string if none has a weight. draw must be uniformly distributed in [0,1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	picked, remaining := "", draw*total
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		picked = s.Service // the last one, if a rounding error leaves something
		remaining -= s.Weight
		if remaining < 0 {
			break
		}
	}
	return picked
}
