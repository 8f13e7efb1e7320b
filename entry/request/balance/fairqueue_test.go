package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// sender is a customer of a simulated service.
type sender struct {
	name string
	// perSecond is the mean rate of its requests.
	perSecond float64
	// objective is the time from a request to its due time, and patience to its deadline.
	objective, patience clock.Millis
	sent, served        int
	// waiting is the number of its requests in the queue, and turns that of those that left it with
	// an upstream.
	waiting, turns int
}

// simulation runs requests of customers at a service of 9 places, each of which takes 50 to 150 ms.
type simulation struct {
	t       *testing.T
	b       *Balancer
	random  *rand.Rand
	senders []*sender
	byName  map[string]*sender
	// ends holds the running requests by the time at which they end.
	ends map[clock.Millis][]*Ticket
	// afterStep is called at the end of each millisecond.
	afterStep func(now clock.Millis)
}

const (
	placesPerSimulation   = 3 * slots
	capacityPerSecond     = placesPerSimulation * 10
	simulationDuration    = 20 * clock.Second
	unlimitedWait         = clock.Hour
	maxWaitPerSimulation  = 2 * clock.Second
	simulatedOverload     = 1.5
	propertySeeds         = 20
	maxTurnsAheadOfOthers = 2
)

func newSimulation(t *testing.T, seed uint64, senders ...*sender) *simulation {
	b, _ := fixture(3, nil)
	s := &simulation{
		t: t, b: b, random: rand.New(rand.NewPCG(seed, 1)), senders: senders,
		byName: make(map[string]*sender), ends: make(map[clock.Millis][]*Ticket), afterStep: func(clock.Millis) {},
	}
	for _, c := range senders {
		s.byName[c.name] = c
	}
	return s
}

// run runs the simulation and returns how many requests ended.
func (s *simulation) run() int {
	ended := 0
	for now := clock.Millis(0); now < simulationDuration; now++ {
		for _, t := range s.ends[now] {
			s.apply(now, s.b.Release(now, t, Succeeded))
			ended++
		}
		delete(s.ends, now)
		for _, c := range s.senders {
			if s.random.Float64() < c.perSecond/float64(clock.Second) {
				s.send(now, c)
			}
		}
		if now%20 == 0 {
			s.apply(now, s.b.Tick(now))
		}
		s.afterStep(now)
	}
	return ended
}

func (s *simulation) send(now clock.Millis, c *sender) {
	c.sent++
	t := &Ticket{Service: "plain", Customer: c.name, Due: now + c.objective, WaitDeadline: now + c.patience}
	switch d := s.b.Acquire(now, t).(type) {
	case Grant:
		s.start(now, d)
	case Wait:
		c.waiting++
	case Reject:
	}
}

func (s *simulation) start(now clock.Millis, g Grant) {
	s.byName[g.Ticket.Customer].served++
	end := now + 50 + clock.Millis(s.random.IntN(101))
	s.ends[end] = append(s.ends[end], g.Ticket)
}

// apply applies decisions on waiting requests.
func (s *simulation) apply(now clock.Millis, decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Grant:
			c := s.byName[d.Ticket.Customer]
			c.waiting--
			c.turns++
			s.start(now, d)
		case Reject:
			s.byName[d.Ticket.Customer].waiting--
		case Wait:
		}
	}
}

// randomSenders returns 2 to 6 customers with different rates and objectives, which send more together
// than the service can run.
func randomSenders(random *rand.Rand) []*sender {
	senders := make([]*sender, 2+random.IntN(5))
	total := 0.0
	for i := range senders {
		senders[i] = &sender{name: fmt.Sprint("c", i), perSecond: math.Exp(4 * random.Float64()), objective: 1 + clock.Millis(random.IntN(5000)), patience: unlimitedWait}
		total += senders[i].perSecond
	}
	for _, c := range senders {
		c.perSecond *= simulatedOverload * capacityPerSecond / total
	}
	return senders
}

// pair holds two customers.
type pair struct {
	a, b *sender
	// waits is set while requests of both wait.
	waits bool
	// min and max are the smallest and largest numbers of turns that a has been ahead since then.
	min, max int
}

// observe returns by how many turns one of the customers got ahead of the other while both waited.
func (p *pair) observe() int {
	ahead := p.a.turns - p.b.turns
	if waits := p.a.waiting > 0 && p.b.waiting > 0; !waits || !p.waits {
		p.waits, p.min, p.max = waits, ahead, ahead
		return 0
	}
	p.min, p.max = min(p.min, ahead), max(p.max, ahead)
	return p.max - p.min
}

// Guards against a customer that gets more turns than another one that waits as well, because it sends
// more or is due earlier, and against places that stay empty while a request waits. The bound is that of
// start-time fair queueing: one request of each of the two.
func TestCustomersShareTurns(t *testing.T) {
	for seed := range uint64(propertySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, randomSenders(rand.New(rand.NewPCG(seed, 2)))...)
			var pairs []*pair
			for i, a := range s.senders {
				for _, b := range s.senders[:i] {
					pairs = append(pairs, &pair{a: a, b: b})
				}
			}
			widest, idle := 0, 0
			s.afterStep = func(now clock.Millis) {
				for _, p := range pairs {
					widest = max(widest, p.observe())
				}
				idle = max(idle, s.emptyPlaces(now))
			}
			s.run()
			check.AtMost(t, "turns that a customer gets ahead of another one", float64(widest), maxTurnsAheadOfOthers)
			check.Equal(t, "places that are empty while a request waits", idle, 0)
		})
	}
}

// emptyPlaces returns the number of places that are empty while a request waits.
func (s *simulation) emptyPlaces(now clock.Millis) int {
	statuses := s.b.Status(now)
	i := slices.IndexFunc(statuses, func(st Status) bool { return st.Service == "plain" })
	if len(statuses[i].Queued) == 0 {
		return 0
	}
	return placesPerSimulation - statuses[i].InFlight
}

// Guards against shares that cost throughput.
func TestSharesCostNoWork(t *testing.T) {
	for seed := range uint64(propertySeeds) {
		shared := newSimulation(t, seed, randomSenders(rand.New(rand.NewPCG(seed, 2)))...).run()
		senders := randomSenders(rand.New(rand.NewPCG(seed, 2)))
		for _, c := range senders {
			c.name = "all"
		}
		check.AtMost(t, fmt.Sprint("requests that end less, seed ", seed), float64(newSimulation(t, seed, senders...).run()-shared), float64(shared)/100)
	}
}

// Guards against a customer that sends little and is not served because another one sends 10 or 100 times
// as much as it does.
func TestQuietCustomerIsServed(t *testing.T) {
	for _, ratio := range []float64{10, 100} {
		t.Run(fmt.Sprint("beside one that sends times ", ratio), func(t *testing.T) {
			rate := simulatedOverload * capacityPerSecond / (1 + ratio)
			quiet := &sender{name: "quiet", perSecond: rate, objective: 500, patience: maxWaitPerSimulation}
			loud := &sender{name: "loud", perSecond: ratio * rate, objective: 500, patience: maxWaitPerSimulation}
			newSimulation(t, 1, quiet, loud).run()
			t.Logf("quiet: %d of %d requests, loud: %d of %d", quiet.served, quiet.sent, loud.served, loud.sent)
			check.Equal(t, "requests of the quiet customer that are not served", quiet.sent-quiet.served, quiet.waiting)
		})
	}
}

// Guards against an estimate of the wait, or a next request, that differs from the order of the queue.
func TestAheadMatchesOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var q fairQueue
	for n := range 2000 {
		e := firstEvent(random.IntN(1000))
		tk := &Ticket{Customer: fmt.Sprint("c", random.IntN(6)), Priority: random.IntN(3), Due: clock.Millis(random.IntN(1000)*2000 + n)}
		ahead := q.ahead(e*1000, tk)
		q.add(tk)
		order := q.inOrder(e * 1000)
		check.Equal(t, "requests ahead", ahead, slices.Index(order, tk))
		check.Equal(t, "next request", q.next(e*1000), order[0])
		check.Equal(t, "length", q.length, len(order))
		if random.IntN(20) > 0 {
			q.take(order[random.IntN(min(len(order), 3))])
		}
	}
}

// Guards against customers that do not send any more, but of which the queue keeps state.
func TestIdleCustomersAreForgotten(t *testing.T) {
	var q fairQueue
	for range 100 {
		q.add(&Ticket{Customer: "waits"})
	}
	for i := range 50 {
		tk := &Ticket{Customer: fmt.Sprint("c", i)}
		q.add(tk)
		q.take(tk)
		q.take(q.next(0))
	}
	check.AtMost(t, "customers", float64(len(q.classes[0].flows)), 3)
}

// Guards against a customer that catches up, at the expense of the others, on turns in which no upstream
// could take its requests.
func TestLostTurnsAreNotCaughtUp(t *testing.T) {
	var q fairQueue
	for range 20 {
		q.add(&Ticket{Customer: "barred"})
		q.add(&Ticket{Customer: "other", Due: 1})
	}
	for range 10 {
		q.take(q.inOrder(0)[slices.IndexFunc(q.inOrder(0), func(tk *Ticket) bool { return tk.Customer == "other" })])
	}
	turns := make(map[string]int)
	for range 8 {
		tk := q.next(0)
		q.take(tk)
		turns[tk.Customer]++
	}
	check.AtMost(t, "turns of the customer that was barred", float64(turns["barred"]), 5)
}

// Guards against a customer that is told to wait for the requests of another one.
func TestRetryAfterIsTheCustomersOwn(t *testing.T) {
	b, _ := fixture(1, nil)
	for now := clock.Millis(0); now < 2*clock.Second; now += 100 {
		b.Release(now, granted(t, b.Acquire(now, &Ticket{Service: "plain", Customer: "loud"})), Succeeded)
	}
	now := 2 * clock.Second
	for range slots + 10 {
		b.Acquire(now, &Ticket{Service: "plain", Customer: "loud", Due: now, WaitDeadline: now + clock.Hour})
	}
	delay := func(customer string) clock.Millis {
		return b.Acquire(now, &Ticket{Service: "plain", Customer: customer, Due: now + 1}).(Reject).RetryAfter
	}
	loud, quiet := delay("loud"), delay("quiet")
	check.AtMost(t, "delay of the quiet customer in ms", float64(quiet), float64(2*minRetryAfter))
	check.AtMost(t, "delay of the quiet customer beside the loud one's in ms", float64(quiet), float64(loud)/2)
}

// Measures the decision at the end of a request: 6,000 upstreams that are full, 10,000 customers that have
// sent something, and 1,000 waiting requests of 100 of them.
func BenchmarkRelease(b *testing.B) {
	balancer, _ := fixture(6000, nil)
	send := func(customer int) Decision {
		return balancer.Acquire(0, &Ticket{Service: "plain", Customer: fmt.Sprint("c", customer), Due: clock.Hour, WaitDeadline: clock.Hour})
	}
	var running []*Ticket
	for i := range 6000 * slots {
		running = append(running, send(i%10000).(Grant).Ticket)
	}
	for i := range 1000 {
		send(i % 100)
	}
	for n := 0; b.Loop(); n++ {
		decisions := balancer.Release(0, running[n%len(running)], Succeeded)
		running[n%len(running)] = decisions[0].(Grant).Ticket
		send(n % 100)
	}
}
