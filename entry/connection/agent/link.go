package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/httpstatus"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
)

// ErrNotConnected is returned when there is no connection to an agent; nothing
// was sent.
var ErrNotConnected = errors.New("agent is not connected")

const (
	// resumeTimeout is how long a request waits for a new connection before it
	// is abandoned.
	resumeTimeout = 3 * clock.Second

	minRedialDelay = 50 * clock.Millis(1)
	maxRedialDelay = 1 * clock.Second
)

// Link maintains the connection to one agent and reconnects whenever it is lost.
// Exported fields must be set before Run.
type Link struct {
	Name      string
	Address   string
	Self      peer.Identity
	Key       []byte
	Clock     *clock.Clock
	Log       *event.Log
	Heartbeat func() *frame.Heartbeat
	// Dial connects to the agent; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Random is the source of the jitter between dials; nil uses the global source.
	Random *rand.Rand
	// OnHeartbeat receives the agent's load reports.
	OnHeartbeat func(link *Link, heartbeat *frame.Heartbeat)
	// OnConnectionChange is called when the connection is established or lost.
	OnConnectionChange func(link *Link, connected bool)
	// OnCrash receives reports of crashes of the agent's upstream. It may be nil
	// and must not block.
	OnCrash func(upstream string, m *frame.Crash)

	mu             sync.Mutex
	conn           *peer.Conn
	incarnation    uint64
	disconnectedAt clock.Millis
	exchanges      map[frame.ID]*Exchange
	queries        map[frame.ID]chan<- *frame.ClaimState
	queryCount     uint64
}

// Run maintains the connection until ctx is done.
func (l *Link) Run(ctx context.Context) {
	backoff := minRedialDelay
	for ctx.Err() == nil {
		c, err := l.dial(ctx)
		if err == nil {
			backoff = minRedialDelay
			l.serve(ctx, c)
		} else if errors.Is(err, peer.ErrAuthentication) {
			peer.LogFailure(l.Log, err, l.Name)
		}
		l.abandonExpired()
		// The jitter prevents many entries from dialling a restarted agent at once.
		delay := l.jitter(backoff) + backoff/2
		backoff = min(2*backoff, maxRedialDelay)
		select {
		case <-ctx.Done():
		case <-time.After(delay.Duration()):
		}
	}
	l.abandon(func(*Exchange) bool { return true })
}

// jitter returns a random duration in [0, limit).
func (l *Link) jitter(limit clock.Millis) clock.Millis {
	if l.Random == nil {
		return clock.Millis(rand.Int64N(int64(limit)))
	}
	return clock.Millis(l.Random.Int64N(int64(limit)))
}

func (l *Link) dial(ctx context.Context) (*peer.Conn, error) {
	if l.Dial == nil {
		return peer.Dial(ctx, l.Address, l.Self, l.Key)
	}
	conn, err := l.Dial(ctx, l.Address)
	if err != nil {
		return nil, err
	}
	return peer.Open(conn, l.Self, l.Key)
}

func (l *Link) serve(ctx context.Context, c *peer.Conn) {
	c.Handle = func(id frame.ID, m frame.Message) { l.handle(c, id, m) }
	c.Heartbeat = l.Heartbeat
	c.OnHeartbeat = func(heartbeat *frame.Heartbeat) { l.OnHeartbeat(l, heartbeat) }
	c.OnUnknownKind = func(err error) { l.Log.Error(event.PeerUnknownFrameKind, err, nil) }
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	l.attach(c)
	l.OnConnectionChange(l, true)
	err := <-ended
	l.detach(c)
	l.OnConnectionChange(l, false)
	if ctx.Err() == nil {
		peer.LogFailure(l.Log, err, l.Name)
	}
}

// attach makes c the current connection and resumes the open requests on it.
// Requests to an earlier incarnation of the agent cannot be resumed.
func (l *Link) attach(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	if l.exchanges == nil {
		l.exchanges = map[frame.ID]*Exchange{}
	}
	restarted := l.incarnation != c.Peer().Incarnation()
	l.incarnation = c.Peer().Incarnation()
	open := make([]*Exchange, 0, len(l.exchanges))
	for _, e := range l.exchanges {
		open = append(open, e)
	}
	l.mu.Unlock()
	l.Log.Emit(event.PeerConnected, event.Fields{"peer": l.Name, "resumed": len(open)})
	for _, e := range open {
		if restarted {
			e.push(Lost{})
			continue
		}
		_ = c.Send(e.id, frame.NewResume(e.nextOffset()))
	}
}

func (l *Link) detach(c *peer.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.disconnectedAt = nil, l.Clock.Now()
}

// abandonExpired abandons requests that have waited too long for a new connection.
func (l *Link) abandonExpired() {
	l.mu.Lock()
	expired := l.conn == nil && l.Clock.Now()-l.disconnectedAt >= resumeTimeout
	l.mu.Unlock()
	if expired {
		l.abandon(func(*Exchange) bool { return true })
	}
}

// abandon reports the matching exchanges as lost.
func (l *Link) abandon(match func(*Exchange) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.exchanges {
		if match(e) {
			e.push(Lost{})
		}
	}
}

// Connected reports whether requests can be submitted.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// OpenExchanges returns the number of open exchanges.
func (l *Link) OpenExchanges() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.exchanges)
}

// Submit sends m as the request with the given ID. If it returns
// ErrNotConnected, nothing has been sent.
func (l *Link) Submit(id frame.ID, m *frame.Submit) (*Exchange, error) {
	l.mu.Lock()
	c := l.conn
	if c == nil {
		l.mu.Unlock()
		return nil, ErrNotConnected
	}
	e := newExchange(id, l)
	l.exchanges[id] = e
	l.mu.Unlock()
	// The exchange stays open when the connection has closed: the agent's reply to
	// Resume will show whether it received the request.
	if err := c.Send(id, m); err != nil && !errors.Is(err, peer.ErrClosed) {
		l.remove(e)
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	return e, nil
}

func (l *Link) remove(e *Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.exchanges, e.id)
}

func (l *Link) close(e *Exchange) {
	l.remove(e)
	l.send(e.id, &frame.Cancel{})
}

// send sends m if there is a connection. A message that is lost is not repeated:
// Resume on the next connection makes up for it.
func (l *Link) send(id frame.ID, m frame.Message) {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		_ = c.Send(id, m)
	}
}

func (l *Link) exchange(id frame.ID) *Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exchanges[id]
}

func (l *Link) handle(c *peer.Conn, id frame.ID, m frame.Message) {
	if state, ok := m.(*frame.ClaimState); ok {
		l.handleClaimState(id, state)
		return
	}
	if crash, ok := m.(*frame.Crash); ok {
		l.handleCrash(crash)
		return
	}
	e := l.exchange(id)
	if e == nil {
		l.logUnmatched(id)
		return
	}
	switch m := m.(type) {
	case *frame.Accepted:
		e.push(Accepted{})
	case *frame.Refused:
		e.push(Refused{refusalOf(m)})
	case *frame.ResponseHead:
		l.handleHead(e, m)
	case *frame.Data:
		if !e.handleData(m) {
			l.logUnmatched(id)
		}
	case *frame.End:
		if !e.handleEnd(m) {
			l.Log.Emit(event.ResponseMismatch, event.Fields{"peer": l.Name, "request": id.Sequence()})
		}
	case *frame.Gone:
		e.push(Lost{notRun: !m.Ran() && m.Incarnation() == c.Peer().Incarnation()})
	default:
		l.logUnmatched(id)
	}
}

func (l *Link) logUnmatched(id frame.ID) {
	l.Log.Emit(event.PeerUnmatchedFrame, event.Fields{"peer": l.Name, "request": id.Sequence()})
}

// handleHead passes on a head whose status a final response can have. Another one can't be sent to
// the caller; the request may have run.
func (l *Link) handleHead(e *Exchange, m *frame.ResponseHead) {
	if err := httpstatus.CheckFinal(m.Status()); err != nil {
		l.Log.Error(event.UpstreamFailed, err, event.Fields{"peer": l.Name, "request": e.id.Sequence()})
		e.push(Lost{})
		return
	}
	e.push(Head{m})
}

func refusalOf(m *frame.Refused) *outcome.Refusal {
	result := outcome.Unknown
	if m.NotRun() {
		result = outcome.NotRun
	}
	return outcome.Refuse(outcome.Code(m.Code()), result, m.RetryAfterMs())
}
