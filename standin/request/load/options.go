// Package load generates requests as several customers against entries, checks
// each answer byte for byte and judges at-most-once execution by the ledgers
// of the plain services.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// ErrOptions reports options that make no sense.
var ErrOptions = errors.New("malformed load option")

// Kind is the way in which a request is made.
type Kind string

// Kinds of requests.
const (
	Streamed Kind = "streamed" // chat with an answer by server-sent events
	Whole    Kind = "whole"    // chat with the answer in one piece
	Plain    Kind = "plain"    // idempotent GET of a plain service
	Keyed    Kind = "keyed"    // POST of a plain service with an idempotency key
	Unkeyed  Kind = "unkeyed"  // POST of a plain service without a key
)

// kinds is the order in which a mix is drawn.
var kinds = []Kind{Streamed, Whole, Plain, Keyed, Unkeyed}

// Span is a range of whole numbers, both ends included.
type Span struct{ Low, High int }

// Customer is one caller with a share of the requests.
type Customer struct {
	Name   string
	Key    string
	Weight int
}

// Service is one target.
type Service struct {
	Name  string
	Model bool
	// Path is the prefix of a plain service's paths.
	Path string
}

// Mix gives the weight of each kind.
type Mix map[Kind]int

// Options describe one run.
type Options struct {
	Entries   []string
	Customers []Customer
	Services  []Service
	// Ledgers are the addresses of all plain services, read after the run.
	Ledgers []string
	Mix     Mix
	// Rate is the number of requests started per second, at seeded exponential
	// intervals.
	Rate     float64
	Duration time.Duration
	// MaxInFlight bounds the open requests; a request due above it is skipped and counted.
	MaxInFlight int
	// PromptBytes and OutputTokens are drawn for each chat request.
	PromptBytes  Span
	OutputTokens Span
	// Prefixes is the number of prompt beginnings that chats share, PrefixBytes
	// long; 0 for none.
	Prefixes    int
	PrefixBytes int
	// DeadlineMs is sent with each request when above 0. LateMs is the time
	// after which a whole answer counts as late; 0 for never.
	DeadlineMs clock.Millis
	LateMs     clock.Millis
	// KeyedRetries is how often a keyed request without an answer is sent again
	// with the same key through another entry.
	KeyedRetries int
	// Marker is put into every MarkerEvery-th chat prompt and plain body; 0 for never.
	Marker      string
	MarkerEvery int
	// SlowReaders keep one streamed answer of SlowTokens each open and read
	// SlowBytesPerSecond. StoppedReaders read the beginning and then nothing.
	SlowReaders        int
	SlowBytesPerSecond int
	SlowTokens         int
	StoppedReaders     int
	// SlowStart spreads the start of slow and stopped readers.
	SlowStart time.Duration
	// Window is the interval of progress lines.
	Window time.Duration
	// Drain bounds the wait for open requests after the last one started.
	Drain time.Duration
	Seed  uint64
}

// ParseCustomers reads "name=key,name=key*weight,…".
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

// ParseServices reads "name=model,name=plain:/path,…".
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

// ParseMix reads "streamed=60,whole=20,plain=10,keyed=10".
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

// ParseSpan reads "low-high" or one number.
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

// ParseList reads a list divided by commas.
func ParseList(text string) []string { return split(text) }

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// check reports options with which no request can be made.
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

// targets divides the services by their sort.
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
