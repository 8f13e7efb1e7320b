// Package metric exposes a process's counters and gauges on a scrape endpoint.
package metric

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally copies values to the scrape endpoint.
const reportInterval = time.Second

// Registry is the root of a process's metrics.
type Registry struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a Registry whose metrics are tagged with the role and the instance.
func New(role, instance string) *Registry {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "goldcrest",
		Tags:           map[string]string{"role": role, "instance": instance},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Registry{scope, closer, reporter.HTTPHandler()}
}

// Scope returns the scope in which packages create their metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler serves the metrics in the text exposition format.
func (r *Registry) Handler() http.Handler { return r.handler }

// Close reports the final values and stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }
