package balance

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// fairQueue holds the waiting requests of a service. Those of a more urgent priority go first. Within a
// priority the customers with waiting requests share the turns equally, by start-time fair queueing
// (P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996) with the same cost for each
// request: the start tag of a customer's next request is the number of its turns so far, and the lowest tag
// goes first. So while two customers wait, the numbers of turns that they get differ by two at most, however
// many requests they send. Among equal tags, and among the requests of one customer, firstEvent decides.
//
// Requests that did not wait do not count, nor do turns for which no upstream could take a customer's
// requests. The zero value is an empty queue.
type fairQueue struct {
	length int
	// classes holds the priorities with waiting requests, the most urgent one first.
	classes []*class
}

// class holds the waiting requests of one priority.
type class struct {
	priority int
	length   int
	// virtualTime is the start tag of the request that got the last turn.
	virtualTime int
	// flows holds, by customer, those with waiting requests and those whose next tag is ahead of
	// virtualTime.
	flows map[string]*flow
}

// turn is the place of a waiting request among those of its priority.
type turn struct {
	tag    int
	ticket *Ticket
}

// compareTurns returns a negative number if a comes before b.
func compareTurns(e firstEvent, a, b turn) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), e.compare(a.ticket, b.ticket), strings.Compare(a.ticket.Customer, b.ticket.Customer))
}

// nextTag returns the start tag of the next request of a flow, which may be nil.
func (c *class) nextTag(f *flow) int {
	if f == nil {
		return c.virtualTime
	}
	return max(f.nextTag, c.virtualTime)
}

// turn returns the turn number n of a flow from now.
func (c *class) turn(e firstEvent, f *flow, n int) turn { return turn{c.nextTag(f) + n, f.nth(e, n)} }

// next returns the request that has the next turn.
func (c *class) next(e firstEvent) *Ticket {
	var first turn
	for _, f := range c.flows {
		if len(f.tickets) == 0 {
			continue
		}
		if t := c.turn(e, f, 0); first.ticket == nil || compareTurns(e, t, first) < 0 {
			first = t
		}
	}
	return first.ticket
}

// inOrder returns all requests in the order of their turns.
func (c *class) inOrder(e firstEvent) []*Ticket {
	turns := make([]turn, 0, c.length)
	for _, f := range c.flows {
		for n := range f.tickets {
			turns = append(turns, c.turn(e, f, n))
		}
	}
	slices.SortFunc(turns, func(a, b turn) int { return compareTurns(e, a, b) })
	tickets := make([]*Ticket, len(turns))
	for i, t := range turns {
		tickets[i] = t.ticket
	}
	return tickets
}

// countTurn counts a turn of a customer.
func (c *class) countTurn(customer string) {
	f := c.flows[customer]
	tag := c.nextTag(f)
	f.nextTag = tag + 1
	if tag == c.virtualTime {
		return
	}
	c.virtualTime = tag
	maps.DeleteFunc(c.flows, func(_ string, f *flow) bool { return len(f.tickets) == 0 && f.nextTag <= tag })
}

// countBefore returns how many requests of a flow come before a turn. winsTie reports whether the one with
// the same tag does.
func (c *class) countBefore(e firstEvent, f *flow, tag int, winsTie func(*Ticket) bool) int {
	n := tag - c.nextTag(f)
	switch {
	case n < 0:
		return 0
	case n >= len(f.tickets):
		return len(f.tickets)
	case winsTie(f.nth(e, n)):
		return n + 1
	}
	return n
}

// class returns the class of a priority, or nil, and the place where it is or belongs.
func (q *fairQueue) class(priority int) (c *class, i int) {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		return nil, i
	}
	return q.classes[i], i
}

// add adds a request.
func (q *fairQueue) add(t *Ticket) {
	c, i := q.class(t.Priority)
	if c == nil {
		c = &class{priority: t.Priority, flows: make(map[string]*flow)}
		q.classes = slices.Insert(q.classes, i, c)
	}
	f := c.flows[t.Customer]
	if f == nil {
		f = &flow{}
		c.flows[t.Customer] = f
	}
	f.add(t)
	c.length++
	q.length++
}

// take removes a request that gets a turn.
func (q *fairQueue) take(t *Ticket) {
	c, _ := q.class(t.Priority)
	c.countTurn(t.Customer)
	q.remove(t)
}

// remove removes a request that gets no turn. It does nothing if the queue does not hold it.
func (q *fairQueue) remove(t *Ticket) {
	c, i := q.class(t.Priority)
	if c == nil {
		return
	}
	if f := c.flows[t.Customer]; f == nil || !f.remove(t) {
		return
	}
	c.length--
	q.length--
	if c.length == 0 {
		q.classes = slices.Delete(q.classes, i, i+1)
	}
}

// next returns the request that has the next turn, nil if none waits.
func (q *fairQueue) next(e firstEvent) *Ticket {
	if len(q.classes) == 0 {
		return nil
	}
	return q.classes[0].next(e)
}

// customers returns how many customers have waiting requests, and the highest number of one of them.
func (q *fairQueue) customers() (count, most int) {
	waiting := make(map[string]int)
	for _, c := range q.classes {
		for customer, f := range c.flows {
			if len(f.tickets) > 0 {
				waiting[customer] += len(f.tickets)
				most = max(most, waiting[customer])
			}
		}
	}
	return len(waiting), most
}

// inOrder returns all requests in the order of their turns.
func (q *fairQueue) inOrder(e firstEvent) []*Ticket {
	all := make([]*Ticket, 0, q.length)
	for _, c := range q.classes {
		all = append(all, c.inOrder(e)...)
	}
	return all
}

// ahead returns how many waiting requests have their turns before that of t, which the queue does not hold.
func (q *fairQueue) ahead(e firstEvent, t *Ticket) int {
	c, more := q.moreUrgent(t.Priority)
	if c == nil {
		return more
	}
	own := 0
	if f := c.flows[t.Customer]; f != nil {
		own = f.turnsBefore(e, t)
	}
	return more + c.ahead(e, t.Customer, own, func(other *Ticket) bool { return e.compare(other, t) <= 0 })
}

// aheadOfNext returns how many waiting requests have their turns before one more of a customer, which is
// less urgent than all others of its priority.
func (q *fairQueue) aheadOfNext(e firstEvent, customer string, priority int) int {
	c, more := q.moreUrgent(priority)
	if c == nil {
		return more
	}
	own := 0
	if f := c.flows[customer]; f != nil {
		own = len(f.tickets)
	}
	return more + c.ahead(e, customer, own, func(*Ticket) bool { return true })
}

// moreUrgent returns the class of a priority, or nil, and the number of requests that go before all of it.
func (q *fairQueue) moreUrgent(priority int) (*class, int) {
	c, i := q.class(priority)
	n := 0
	for _, other := range q.classes[:i] {
		n += other.length
	}
	return c, n
}

// ahead returns how many requests of the class have their turns before a request of a customer that has
// own requests before it.
func (c *class) ahead(e firstEvent, customer string, own int, winsTie func(*Ticket) bool) int {
	n, tag := own, c.nextTag(c.flows[customer])+own
	for other, f := range c.flows {
		if other != customer {
			n += c.countBefore(e, f, tag, winsTie)
		}
	}
	return n
}
