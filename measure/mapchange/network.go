package mapchange

import (
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// timedAction is an action of the simulation at a point in time. seq orders
// actions at the same time.
type timedAction struct {
	at  clock.Millis
	seq uint64
	run func()
}

// actionQueue is a heap of actions, the earliest first.
type actionQueue []timedAction

func (t actionQueue) Len() int { return len(t) }

func (t actionQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

func (t actionQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *actionQueue) Push(x any) { *t = append(*t, x.(timedAction)) }

func (t *actionQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// network sets the faults of messages between agents.
type network struct {
	// loss and duplicate are probabilities per message.
	loss      float64
	duplicate float64
	// maxExtraDelay bounds the additional delay of one in four deliveries.
	maxExtraDelay clock.Millis
}

// broadcast passes a message to the owner of the same agent, if there is one,
// and sends it to all other members.
func (w *world) broadcast(m rank.Member, message rank.Message) {
	if o := w.agents[m].owner; o != nil {
		w.executeActions(m, o.Handle(rank.Received{From: m, Message: message}))
	}
	for _, to := range w.agents[m].rank.Members {
		if to != m {
			w.send(m, to, message)
		}
	}
}

func (w *world) send(from, to rank.Member, message rank.Message) {
	deliverMessage := func() { w.deliver(to, 0, func() { w.receive(from, to, message) }) }
	if from == to {
		w.after(0, deliverMessage)
		return
	}
	copies := 1
	if w.random.Float64() < w.net.loss {
		copies = 0
	}
	if w.random.Float64() < w.net.duplicate {
		copies++
	}
	for range copies {
		delay := minLatency + clock.Millis(w.random.Int64N(int64(maxLatency-minLatency+1)))
		if w.net.maxExtraDelay > 0 && w.random.IntN(4) == 0 {
			delay += clock.Millis(w.random.Int64N(int64(w.net.maxExtraDelay)))
		}
		w.after(delay, deliverMessage)
	}
}
