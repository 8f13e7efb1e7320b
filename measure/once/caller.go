package once

import (
	"fmt"
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// maxSendings bounds how often a caller sends one call.
	maxSendings = 6
	// impatience is when an impatient caller sends its key again although the
	// first sending is still open.
	impatience = 250 * clock.Millis(1)
)

// call is one piece of work that a caller wants done.
type call struct {
	world      *world
	id         int
	customer   string
	key        string // "" for a call without Idempotency-Key
	body       string
	idempotent bool
	crashes    bool // the request crashes each upstream that runs it
	impatient  bool
	patience   clock.Millis

	sendings []int
	open     map[int]bool
	answer   string
	unknown  bool
}

// send sends the call through an entry that the platform's load balancer picks.
func (c *call) send() {
	if c.answer != "" || len(c.sendings) >= maxSendings {
		return
	}
	w := c.world
	e := w.balance()
	if e == nil {
		w.engine.after(200, c.send)
		return
	}
	w.sendings++
	sending := w.sendings
	c.sendings = append(c.sendings, sending)
	c.open[sending] = true
	w.callOf[sending] = c
	w.engine.after(w.engine.between(1, 3), func() {
		if !e.alive {
			c.broken(sending)
			return
		}
		e.receive(c, sending)
	})
	w.engine.after(c.patience+4*clock.Second, func() { c.broken(sending) })
	if c.impatient && c.key != "" {
		w.engine.after(impatience, func() {
			if c.open[sending] {
				c.send()
			}
		})
	}
}

func (e *entry) receive(c *call, sending int) {
	e.process.deliver(e.life, func() { e.accept(c, sending) })
}

// answered checks an answer against the ledger.
func (c *call) answered(sending int, answer string) {
	if !c.open[sending] {
		return
	}
	delete(c.open, sending)
	c.world.answers++
	if !c.matches(answer) || c.key != "" && c.answer != "" && c.answer != answer {
		c.world.report("wrong answer %q to call %d", answer, c.id)
		c.world.wrong++
	}
	c.answer = answer
}

// matches tells whether answer is that of an execution of this very call.
func (c *call) matches(answer string) bool {
	body, number, _ := strings.Cut(answer, "#")
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(c.world.ledger) {
		return false
	}
	x := c.world.ledger[n-1]
	return body == c.body && x.body == c.body && x.key == c.key && c.world.callOf[x.sending] == c
}

// refused records a refusal, decided at an instant, and sends the call again
// when that is safe.
func (c *call) refused(sending int, r *outcome.Refusal, decided clock.Millis) {
	if !c.open[sending] {
		return
	}
	delete(c.open, sending)
	w := c.world
	w.codes[r.Code()]++
	if r.Code() == outcome.Quarantined && !c.crashes {
		w.report("innocent call %d is quarantined", c.id)
		w.innocentQuarantined++
	}
	if r.Outcome() == outcome.NotRun {
		w.notRun++
		w.refusedNotRun[sending] = decided
	} else {
		w.unknown++
		c.unknown = true
	}
	if r.Outcome() == outcome.NotRun || c.key != "" || c.idempotent {
		w.engine.after(w.engine.between(50, 1000), c.send)
	}
}

// broken handles a connection that ended without an answer.
func (c *call) broken(sending int) {
	if !c.open[sending] {
		return
	}
	delete(c.open, sending)
	c.world.brokenCalls++
	if c.key != "" || c.idempotent {
		c.world.engine.after(c.world.engine.between(10, 500), c.send)
	}
}

// calls starts the traffic of a schedule.
func (w *world) calls(count int, over clock.Millis) {
	for i := range count {
		c := &call{
			world:    w,
			id:       i,
			customer: "customer" + strconv.Itoa(w.engine.rng.IntN(3)),
			body:     fmt.Sprintf("body%d", i),
			patience: w.engine.between(1500, 5000),
			open:     map[int]bool{},
		}
		switch kind := w.engine.rng.IntN(10); {
		case kind < 7:
			c.key = "key" + strconv.Itoa(i)
			c.impatient = w.engine.chance(30)
		case kind < 8:
			c.idempotent = true
		}
		w.all = append(w.all, c)
		w.engine.after(w.engine.between(0, over), c.send)
	}
}
