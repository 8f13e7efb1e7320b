package server

import (
	"context"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// shareBroadcastInterval is how often entries send each other the usage of their
// customers. Package customer expires the shares of an entry that it has not
// received for a few intervals.
const shareBroadcastInterval = 1 * clock.Second

// broadcastShares sends the usage of the customers at this entry to the other
// entries until ctx is done, so that limits hold across all entries.
func (s *Server) broadcastShares(ctx context.Context) {
	clock.Every(ctx, shareBroadcastInterval, func() {
		if shares := s.scheduler.Shares(); len(shares) > 0 {
			s.claims.Broadcast(frame.NewShares(s.Settings.Instance(), shares, nil))
		}
	})
}

// updatePeerShares handles customer shares and verdicts received from another entry.
func (s *Server) updatePeerShares(m *frame.Shares) {
	if m.Entry() != "" {
		s.scheduler.UpdateShares(m.Entry(), m.CustomerShares())
	}
	s.suspects.Received(m)
}
