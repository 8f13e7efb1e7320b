package route

import "goldcrestshore/core/process/clock"

// search is the state of one choice.
type search struct {
	table   *Table
	now     clock.Millis
	service *service
	request Request
	hits    []hit
	found   bool
	best    Choice
	ms      float64 // prediction for the best
	queue   float64 // part of the prediction that is waiting for others
}

// consider takes u if it has room and is predicted to answer sooner.
func (s *search) consider(u *upstream) {
	if u.free(s.request.bytes) <= 0 {
		return
	}
	cached := min(hitTokens(u, s.hits), s.request.promptTokens)
	queue, ms := s.table.predict(s.now, s.service, u, s.request.promptTokens-cached)
	if s.found && ms >= s.ms {
		return
	}
	s.found = true
	s.best = Choice{u.name, cached, clock.Millis(ms)}
	s.ms = ms
	s.queue = queue
}

// pair considers two upstreams drawn at random.
func (s *search) pair(usable []*upstream) {
	if len(usable) <= 2 {
		s.all(usable)
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

// holders considers the upstreams that hold a prefix of the request.
func (s *search) holders(usable []*upstream) {
	if len(s.hits) == 0 {
		return
	}
	for _, u := range usable {
		if hitTokens(u, s.hits) > 0 {
			s.consider(u)
		}
	}
}

func (s *search) all(usable []*upstream) {
	for _, u := range usable {
		s.consider(u)
	}
}
