package server

import (
	"context"

	"goldcrestshore/core/process/clock"
)

// gaugeInterval matches the reporting interval of the metrics.
const gaugeInterval = clock.Second

// updateGauges updates the gauges of the upstream and of buffered responses until
// ctx is done. Reservations above the memory budget count as violations; the
// counter is expected to stay 0.
func (s *Server) updateGauges(ctx context.Context) {
	scope := s.Metrics.Scope()
	inFlight, limit := scope.Gauge("upstream_held"), scope.Gauge("upstream_limit")
	reserved, streamBytes := scope.Gauge("upstream_reserved_bytes"), scope.Gauge("stream_bytes")
	violations := scope.Counter("over_limit_violations")
	clock.Every(ctx, gaugeInterval, func() {
		o := s.gate.loadReport().Occupancy()
		inFlight.Update(float64(o.InFlight()))
		limit.Update(float64(o.Limit()))
		reserved.Update(float64(o.ReservedBytes()))
		streamBytes.Update(float64(s.entries.UnackedBytes()))
		if o.ReservedBytes() > o.BudgetBytes() && o.BudgetBytes() > 0 {
			violations.Inc(1)
		}
	})
}
