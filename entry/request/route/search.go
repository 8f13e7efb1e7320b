package route

import "goldcrestshore/core/process/clock"

// search is the state of one call of Choose.
type search struct {
	table        *Table
	now          clock.Millis
	service      *service
	request      Request
	hits         []hit
	found        bool
	best         Choice
	firstTokenMs float64 // predicted for best
	queueMs      float64 // part of firstTokenMs that is spent queued
}

// consider makes u the best if it has free capacity and a lower predicted
// first-token time.
func (s *search) consider(u *upstream) {
	if u.freeCapacity(s.request.reservedBytes) <= 0 {
		return
	}
	cached := min(expectedCachedTokens(u, s.hits), s.request.promptTokens)
	queueMs, firstTokenMs := s.table.predict(s.now, s.service, u, s.request.promptTokens-cached)
	if s.found && firstTokenMs >= s.firstTokenMs {
		return
	}
	s.found = true
	s.best = Choice{u.name, cached, clock.Millis(firstTokenMs)}
	s.firstTokenMs = firstTokenMs
	s.queueMs = queueMs
}

// considerPair considers two random upstreams.
func (s *search) considerPair(usable []*upstream) {
	if len(usable) <= 2 {
		s.considerAll(usable)
		return
	}
	i := s.table.random.IntN(len(usable))
	j := s.table.random.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	s.consider(usable[i])
	s.consider(usable[j])
}

// considerHolders considers the upstreams that have a prefix of the request
// cached.
func (s *search) considerHolders(usable []*upstream) {
	if len(s.hits) == 0 {
		return
	}
	for _, u := range usable {
		if expectedCachedTokens(u, s.hits) > 0 {
			s.consider(u)
		}
	}
}

func (s *search) considerAll(usable []*upstream) {
	for _, u := range usable {
		s.consider(u)
	}
}
