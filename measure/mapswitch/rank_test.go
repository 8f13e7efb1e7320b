package mapswitch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/process/orders"
	"goldcrestshore/core/version/group"
	"goldcrestshore/standin/process/lockstep"
)

// rank maps the errors of lockstep to those of orders.
type rank struct {
	*lockstep.Rank
	responses *responses
}

// responses makes a rank answer some calls, which it executes, with a copy of its response to
// the call of that kind before.
type responses struct {
	mu sync.Mutex
	// random draws the calls; nil if the rank answers each with its own response.
	random     *rand.Rand
	lastOrder  error
	lastReport *group.Report
	// spoil, if not nil, changes the lists of experts that the rank returns.
	spoil func(layers [][]int) [][]int
	// queryError, if not nil, is returned in place of lists of experts and counts.
	queryError error
	// change, if not nil, changes the reports of the rank.
	change func(r *group.Report)
}

// copyShare is the share of calls that are answered with a copy.
const copyShare = 0.1

// repeat makes the rank answer calls that random draws with copies.
func (r *responses) repeat(random *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random = random
}

// copies reports whether a call is answered with a copy. The caller holds the lock.
func (r *responses) copies() bool { return r.random != nil && r.random.Float64() < copyShare }

// order returns the response to an order whose own response is err.
func (r *responses) order(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastOrder
	r.lastOrder = err
	if r.copies() {
		return last
	}
	return err
}

// report returns the response to a query whose own response is own.
func (r *responses) report(own group.Report) group.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastReport
	if r.change != nil {
		r.change(&own)
	}
	r.lastReport = &own
	if last != nil && r.copies() {
		return *last
	}
	return own
}

// changeReports makes change change the reports of the rank, nil for none.
func (r *responses) changeReports(change func(r *group.Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.change = change
}

// spoilLists makes spoil change the lists of experts that the rank returns, nil for none.
func (r *responses) spoilLists(spoil func(layers [][]int) [][]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoil = spoil
}

// failQueries makes the rank return err in place of lists of experts and counts, nil for none.
func (r *responses) failQueries(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queryError = err
}

// failure returns the error of a query of lists of experts or counts.
func (r *responses) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queryError
}

// experts returns the response to a query of the lists whose own response is own.
func (r *responses) experts(own [][]int) [][]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spoil == nil {
		return own
	}
	layers := make([][]int, len(own))
	for i, list := range own {
		layers[i] = slices.Clone(list)
	}
	return r.spoil(layers)
}

func (r rank) Experts(ctx context.Context) ([][]int, error) {
	if err := r.responses.failure(); err != nil {
		return nil, err
	}
	own, err := r.Rank.Experts(ctx)
	if err != nil {
		return own, err
	}
	return r.responses.experts(own), nil
}

func (r rank) Counts(ctx context.Context) ([]int64, error) {
	if err := r.responses.failure(); err != nil {
		return nil, err
	}
	return r.Rank.Counts(ctx)
}

func (r rank) Report(ctx context.Context) (group.Report, error) {
	own, err := r.Rank.Report(ctx)
	if err != nil {
		return own, err
	}
	return r.responses.report(own), nil
}

func (r rank) Order(ctx context.Context, o group.Order) error {
	err := r.Rank.Order(ctx, o)
	switch {
	case errors.Is(err, lockstep.ErrRefused):
		return r.responses.order(orders.ErrRefused)
	case err != nil:
		return orders.ErrNoReply
	}
	return r.responses.order(nil)
}
