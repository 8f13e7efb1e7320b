package claims

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/entry/request/claim"
)

// broadcast is a frame for every connected entry.
type broadcast struct{ message *frame.Shares }

func (broadcast) input() {}

// Broadcast sends m to every connected entry. It does not wait: what finds no
// room is lost, and the sender repeats it.
func (s *Service) Broadcast(m *frame.Shares) {
	s.lazyInit()
	_ = s.inbox.Offer(broadcast{m})
}

// broadcast offers a frame to the connections of both directions. Two entries
// that each hold a shard get it twice, which does no harm.
func (s *Service) broadcast(b broadcast) {
	for _, p := range s.outboundPeers {
		p.out.offer(claim.AttemptID{}, b.message)
	}
	for _, out := range s.inboundPeers {
		out.offer(claim.AttemptID{}, b.message)
	}
}

// handleShares takes a Shares frame and reports whether m is one.
func (s *Service) handleShares(m frame.Message) bool {
	shares, ok := m.(*frame.Shares)
	if ok && s.OnShares != nil {
		s.OnShares(shares)
	}
	return ok
}
