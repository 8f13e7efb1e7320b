package claims

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/entry/request/claim"
)

// broadcast is the event that a frame is to be sent to every connected entry.
type broadcast struct{ message *frame.Shares }

func (broadcast) input() {}

// Broadcast sends m to every connected entry. It does not block: if the inbox or
// the outbox of an entry is full, m is dropped there, and the sender repeats it
// later.
func (s *Service) Broadcast(m *frame.Shares) {
	s.lazyInit()
	_ = s.inbox.Offer(broadcast{m})
}

// broadcast sends a frame on the connections of both directions. Entries that
// both hold a shard have two connections and receive the frame twice, which is
// harmless.
func (s *Service) broadcast(b broadcast) {
	for _, p := range s.outboundPeers {
		p.out.offer(claim.AttemptID{}, b.message)
	}
	for _, out := range s.inboundPeers {
		out.offer(claim.AttemptID{}, b.message)
	}
}

// handleShares passes a Shares frame to OnShares and reports whether m is one.
func (s *Service) handleShares(m frame.Message) bool {
	shares, ok := m.(*frame.Shares)
	if ok && s.OnShares != nil {
		s.OnShares(shares)
	}
	return ok
}
