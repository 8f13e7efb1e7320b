// Package load sends requests of several customers to entries, checks each
// response byte for byte and checks at-most-once execution against the ledgers of
// the plain services.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// ErrOptions reports malformed or inconsistent options.
var ErrOptions = errors.New("invalid load option")

// Kind is the type of a request.
type Kind string

// Kinds of requests.
const (
	Streamed Kind = "streamed" // chat completion streamed as server-sent events
	Whole    Kind = "whole"    // chat completion in a single response
	Plain    Kind = "plain"    // GET to a plain service, idempotent
	Keyed    Kind = "keyed"    // POST to a plain service with an idempotency key
	Unkeyed  Kind = "unkeyed"  // POST to a plain service without an idempotency key
)

// kinds lists the kinds in a fixed order, so that draws from a mix are reproducible.
var kinds = []Kind{Streamed, Whole, Plain, Keyed, Unkeyed}

// Span is an inclusive range of integers.
type Span struct{ Low, High int }

// Customer is a customer that sends a share of the requests proportional to Weight.
type Customer struct {
	Name   string
	Key    string
	Weight int
}

// Service is a target of requests.
type Service struct {
	Name  string
	Model bool
	// Path is the path prefix of a plain service.
	Path string
}

// Mix maps each kind to its weight.
type Mix map[Kind]int

// Options configures a run.
type Options struct {
	Entries   []string
	Customers []Customer
	Services  []Service
	// Ledgers are the addresses of all plain services, whose ledgers are read after the run.
	Ledgers []string
	Mix     Mix
	// Rate is the mean number of requests started per second; the intervals are
	// drawn from an exponential distribution.
	Rate     float64
	Duration time.Duration
	// MaxInFlight limits the requests in flight; a request due above the limit is
	// skipped and counted.
	MaxInFlight int
	// PromptBytes and OutputTokens are the ranges of the prompt and response
	// lengths, drawn for each chat request.
	PromptBytes  Span
	OutputTokens Span
	// Prefixes is the number of prompt prefixes shared by chat requests, each of
	// PrefixBytes bytes; 0 for none.
	Prefixes    int
	PrefixBytes int
	// DeadlineMs is the deadline sent with each request; 0 for none. LateMs is the
	// response time above which a correct response counts as late; 0 for never.
	DeadlineMs clock.Millis
	LateMs     clock.Millis
	// KeyedRetries is the maximum number of retries of a keyed request without a
	// response, each with the same key through the next entry.
	KeyedRetries int
	// Marker is added to every MarkerEvery-th request, in the chat prompt or the
	// POST body; a MarkerEvery of 0 disables it.
	Marker      string
	MarkerEvery int
	// SlowReaders is the number of readers that each read one streamed response of
	// SlowTokens tokens at SlowBytesPerSecond. StoppedReaders is the number of
	// readers that read only the beginning of such a response.
	SlowReaders        int
	SlowBytesPerSecond int
	SlowTokens         int
	StoppedReaders     int
	// SlowStart is the duration over which the starts of slow and stopped readers are spread.
	SlowStart time.Duration
	// Window is the interval of progress lines.
	Window time.Duration
	// Drain is the maximum wait for requests in flight after the last one was
	// started, and the timeout for reading the ledgers.
	Drain time.Duration
	Seed  uint64
}

// ParseCustomers parses "name=key,name=key*weight,…".
func ParseCustomers(text string) ([]Customer, error) {
	var out []Customer
	for _, part := range split(text) {
		name, rest, ok := strings.Cut(part, "=")
		key, weightText, weighted := strings.Cut(rest, "*")
		c := Customer{name, key, 1}
		if weighted {
			n, err := strconv.Atoi(weightText)
			if err != nil || n < 1 {
				return nil, errors.Wrapf(ErrOptions, "weight of customer %q", name)
			}
			c.Weight = n
		}
		if !ok || name == "" || key == "" {
			return nil, errors.Wrapf(ErrOptions, "customer %q", part)
		}
		out = append(out, c)
	}
	return out, nil
}

// ParseServices parses "name=model,name=plain:/path,…".
func ParseServices(text string) ([]Service, error) {
	var out []Service
	for _, part := range split(text) {
		name, kind, _ := strings.Cut(part, "=")
		path, plain := strings.CutPrefix(kind, "plain:")
		switch {
		case name != "" && kind == "model":
			out = append(out, Service{Name: name, Model: true})
		case name != "" && plain && strings.HasPrefix(path, "/"):
			out = append(out, Service{Name: name, Path: strings.TrimSuffix(path, "/")})
		default:
			return nil, errors.Wrapf(ErrOptions, "service %q", part)
		}
	}
	return out, nil
}

// ParseMix parses "streamed=60,whole=20,plain=10,keyed=10".
func ParseMix(text string) (Mix, error) {
	mix := Mix{}
	for _, part := range split(text) {
		name, weight, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if err != nil || n < 0 || !validKind(Kind(name)) {
			return nil, errors.Wrapf(ErrOptions, "mix %q", part)
		}
		mix[Kind(name)] = n
	}
	return mix, nil
}

func validKind(k Kind) bool {
	for _, candidate := range kinds {
		if candidate == k {
			return true
		}
	}
	return false
}

// ParseSpan parses "low-high" or a single number.
func ParseSpan(text string) (Span, error) {
	low, high, ranged := strings.Cut(text, "-")
	if !ranged {
		high = low
	}
	a, errLow := strconv.Atoi(low)
	b, errHigh := strconv.Atoi(high)
	if errLow != nil || errHigh != nil || a < 0 || b < a {
		return Span{}, errors.Wrapf(ErrOptions, "range %q", text)
	}
	return Span{a, b}, nil
}

// ParseList parses a comma-separated list.
func ParseList(text string) []string { return split(text) }

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// check returns an error if no request can be made with the options.
func (o *Options) check() error {
	if len(o.Entries) == 0 || len(o.Customers) == 0 {
		return errors.Wrap(ErrOptions, "no entries or no customers")
	}
	model, plain := o.targets()
	for kind, weight := range o.Mix {
		chat := kind == Streamed || kind == Whole
		if weight > 0 && (chat && len(model) == 0 || !chat && len(plain) == 0) {
			return errors.Wrapf(ErrOptions, "no service for %s requests", kind)
		}
	}
	if o.SlowReaders+o.StoppedReaders > 0 && len(model) == 0 {
		return errors.Wrap(ErrOptions, "no model service for slow readers")
	}
	return nil
}

// targets splits the services into model and plain services.
func (o *Options) targets() (model, plain []Service) {
	for _, s := range o.Services {
		if s.Model {
			model = append(model, s)
		} else {
			plain = append(plain, s)
		}
	}
	return model, plain
}
