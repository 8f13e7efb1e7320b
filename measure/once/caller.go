package once

import (
	"fmt"
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// maxCallerAttempts is the maximum number of attempts of a caller for one call.
	maxCallerAttempts = 6
	// earlyRetryDelay is the delay after which some callers resend a key although
	// the previous attempt is still open.
	earlyRetryDelay = 250 * clock.Millis(1)
)

// call is one request of a caller with all its attempts.
type call struct {
	world        *world
	id           int
	customer     string
	key          string // value of Idempotency-Key, "" if the call has none
	body         string
	idempotent   bool
	crashes      bool // the request crashes each upstream that runs it
	retriesEarly bool
	timeout      clock.Millis

	callerAttempts []int
	open           map[int]bool
	response       string
	unknown        bool
}

// send makes an attempt through an entry that the platform's load balancer picks.
func (c *call) send() {
	if c.response != "" || len(c.callerAttempts) >= maxCallerAttempts {
		return
	}
	w := c.world
	e := w.pickEntry()
	if e == nil {
		w.engine.after(200, c.send)
		return
	}
	w.callerAttempts++
	callerAttempt := w.callerAttempts
	c.callerAttempts = append(c.callerAttempts, callerAttempt)
	c.open[callerAttempt] = true
	w.callOf[callerAttempt] = c
	w.engine.after(w.engine.between(1, 3), func() {
		if !e.alive {
			c.connectionBroken(callerAttempt)
			return
		}
		e.receive(c, callerAttempt)
	})
	w.engine.after(c.timeout+4*clock.Second, func() { c.connectionBroken(callerAttempt) })
	if c.retriesEarly && c.key != "" {
		w.engine.after(earlyRetryDelay, func() {
			if c.open[callerAttempt] {
				c.send()
			}
		})
	}
}

func (e *entry) receive(c *call, callerAttempt int) {
	e.process.deliver(e.generation, func() { e.accept(c, callerAttempt) })
}

// receiveResponse checks a response against the ledger. All responses to one key
// must be equal.
func (c *call) receiveResponse(callerAttempt int, response string) {
	if !c.open[callerAttempt] {
		return
	}
	delete(c.open, callerAttempt)
	c.world.responses++
	if !c.matches(response) || c.key != "" && c.response != "" && c.response != response {
		c.world.reportViolation("wrong answer %q to call %d", response, c.id)
		c.world.wrong++
	}
	c.response = response
}

// matches reports whether the response comes from an execution of this call.
func (c *call) matches(response string) bool {
	body, number, _ := strings.Cut(response, "#")
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(c.world.ledger) {
		return false
	}
	x := c.world.ledger[n-1]
	return body == c.body && x.body == c.body && x.key == c.key && c.world.callOf[x.callerAttempt] == c
}

// receiveRefusal records a refusal that was decided at decidedAt, and retries the
// call if that is safe.
func (c *call) receiveRefusal(callerAttempt int, r *outcome.Refusal, decidedAt clock.Millis) {
	if !c.open[callerAttempt] {
		return
	}
	delete(c.open, callerAttempt)
	w := c.world
	w.codes[r.Code()]++
	if r.Code() == outcome.Quarantined && !c.crashes {
		w.reportViolation("innocent call %d is quarantined", c.id)
		w.innocentQuarantined++
	}
	if r.Outcome() == outcome.NotRun {
		w.notRun++
		w.refusedNotRun[callerAttempt] = decidedAt
	} else {
		w.unknown++
		c.unknown = true
	}
	if r.Outcome() == outcome.NotRun || c.key != "" || c.idempotent {
		w.engine.after(w.engine.between(50, 1000), c.send)
	}
}

// connectionBroken handles a connection that ended without a response.
func (c *call) connectionBroken(callerAttempt int) {
	if !c.open[callerAttempt] {
		return
	}
	delete(c.open, callerAttempt)
	c.world.brokenCalls++
	if c.key != "" || c.idempotent {
		c.world.engine.after(c.world.engine.between(10, 500), c.send)
	}
}

// startTraffic schedules the first attempts of count calls within window.
func (w *world) startTraffic(count int, window clock.Millis) {
	for i := range count {
		c := &call{
			world:    w,
			id:       i,
			customer: "customer" + strconv.Itoa(w.engine.rng.IntN(3)),
			body:     fmt.Sprintf("body%d", i),
			timeout:  w.engine.between(1500, 5000),
			open:     map[int]bool{},
		}
		switch kind := w.engine.rng.IntN(10); {
		case kind < 7:
			c.key = "key" + strconv.Itoa(i)
			c.retriesEarly = w.engine.chance(30)
		case kind < 8:
			c.idempotent = true
		}
		w.calls = append(w.calls, c)
		w.engine.after(w.engine.between(0, window), c.send)
	}
}
