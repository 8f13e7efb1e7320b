package server

import (
	"context"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// shareBroadcastInterval is how often entries tell each other what their customers use;
// package customer forgets another entry's shares after a few of them.
const shareBroadcastInterval = 1 * clock.Second

// broadcastShares tells the other entries what the customers use here, so that
// limits hold over all entries, until ctx is done.
func (s *Server) broadcastShares(ctx context.Context) {
	clock.Every(ctx, shareBroadcastInterval, func() {
		if shares := s.scheduler.Shares(); len(shares) > 0 {
			s.claims.Broadcast(frame.NewShares(s.Settings.Instance(), shares, nil))
		}
	})
}

// updatePeerShares takes what another entry tells.
func (s *Server) updatePeerShares(m *frame.Shares) {
	if m.Entry() != "" {
		s.scheduler.UpdateShares(m.Entry(), m.CustomerShares())
	}
	s.suspects.Received(m)
}
