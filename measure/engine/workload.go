package engine

import (
	"fmt"
	"math"
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
)

// Customer describes the requests of one customer.
type Customer struct {
	Name      string
	Share     float64 // fraction of all requests
	Templates int     // distinct prompt prefixes in use
	Priority  int
	Prompt    int // mean number of prompt tokens that no other request shares
	Prefix    int // prompt tokens shared by requests of the same template
	Output    int // median number of generated tokens
}

// Customers returns ten customers, three of them large, with 29 templates in
// all. The templates together take about twice the cache of one engine.
func Customers() []Customer {
	var all []Customer
	for i := range 10 {
		c := Customer{Name: fmt.Sprintf("customer-%d", i), Share: 0.04, Templates: 2, Priority: i % 3, Prompt: 200, Prefix: 1600, Output: 150}
		if i < 3 {
			c.Share = 0.24
			c.Templates = 5
		}
		all = append(all, c)
	}
	return all
}

// Request is one generated request.
type Request struct {
	Customer  string
	Priority  int
	Prompt    int
	Prefixes  []uint64
	Output    int
	MaxTokens int // largest number of tokens that the caller accepts
}

// Workload generates requests.
type Workload struct {
	customers []Customer
	total     float64
	random    *rand.Rand
}

// NewWorkload returns a workload of the given customers.
func NewWorkload(customers []Customer, random *rand.Rand) *Workload {
	w := &Workload{customers: customers, random: random}
	for _, c := range customers {
		w.total += c.Share
	}
	return w
}

// InterarrivalTime returns the time until the next request of a Poisson process.
func (w *Workload) InterarrivalTime(perSecond float64) clock.Millis {
	return clock.Millis(math.Round(w.random.ExpFloat64() / perSecond * float64(clock.Second)))
}

// Next returns a request of a customer drawn in proportion to its share.
func (w *Workload) Next() Request {
	at := w.random.Float64() * w.total
	for _, c := range w.customers {
		if at < c.Share {
			return w.RequestFrom(c)
		}
		at -= c.Share
	}
	return w.RequestFrom(w.customers[len(w.customers)-1])
}

// RequestFrom returns a request of c. A third of the requests continue an earlier
// conversation, which lengthens the shared part.
func (w *Workload) RequestFrom(c Customer) Request {
	template := w.random.IntN(max(c.Templates, 1))
	shared := c.Prefix
	if w.random.IntN(3) == 0 {
		shared += c.Prefix / 2
	}
	unshared := 1 + int(float64(c.Prompt)*(0.5+w.random.Float64()))
	output := max(1, int(float64(c.Output)*math.Exp(0.5*w.random.NormFloat64())))
	limit := 4 * c.Output
	return Request{
		Customer:  c.Name,
		Priority:  c.Priority,
		Prompt:    shared + unshared,
		Prefixes:  w.prefixes(c.Name, template, shared, shared+unshared),
		Output:    min(output, limit),
		MaxTokens: limit,
	}
}

// prefixes returns one hash per full block of the prompt: equal for all requests
// in the shared part of a template, random in the rest.
func (w *Workload) prefixes(customer string, template, shared, prompt int) []uint64 {
	var hashes []uint64
	base := rendezvous.Weight(customer, fmt.Sprint(template))
	for i := range prompt / BlockTokens {
		if (i+1)*BlockTokens <= shared {
			hashes = append(hashes, base+uint64(i)*0x9e3779b97f4a7c15)
			continue
		}
		hashes = append(hashes, w.random.Uint64())
	}
	return hashes
}
