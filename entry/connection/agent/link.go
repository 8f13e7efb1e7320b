package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
)

// ErrNotConnected reports an agent without a connection; nothing was sent.
var ErrNotConnected = errors.New("agent is not connected")

const (
	// resumeLife is how long a request waits for a new connection.
	resumeLife = 3 * clock.Second

	minRedial = 50 * clock.Millis(1)
	maxRedial = 1 * clock.Second
)

// Link is the connection to one agent, replaced whenever it is lost. Exported
// fields are set before Run.
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
	// Random spreads the times of new dials; nil uses the global source.
	Random *rand.Rand
	// OnHeartbeat receives the agent's load reports.
	OnHeartbeat func(link *Link, beat *frame.Heartbeat)
	// OnChange is told when the link gains or loses its connection.
	OnChange func(link *Link, connected bool)
	// OnCrash is told of crashes of the agent's upstream; it may be nil and must
	// not block.
	OnCrash func(upstream string, m *frame.Crash)

	mu          sync.Mutex
	conn        *peer.Conn
	incarnation uint64
	lostAt      clock.Millis
	exchanges   map[frame.ID]*Exchange
	queries     map[frame.ID]chan<- *frame.ClaimState
	queried     uint64
}

// Run keeps the connection until ctx is done.
func (l *Link) Run(ctx context.Context) {
	wait := minRedial
	for ctx.Err() == nil {
		c, err := l.dial(ctx)
		if err == nil {
			wait = minRedial
			l.serve(ctx, c)
		} else if errors.Is(err, peer.ErrAuthentication) {
			peer.LogFailure(l.Log, err, l.Name)
		}
		l.expire()
		// Random times keep many entries from dialling a restarted agent at once.
		pause := l.random(wait) + wait/2
		wait = min(2*wait, maxRedial)
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
	l.abandon(func(*Exchange) bool { return true })
}

// random returns a span below limit.
func (l *Link) random(limit clock.Millis) clock.Millis {
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
	c.OnHeartbeat = func(beat *frame.Heartbeat) { l.OnHeartbeat(l, beat) }
	c.OnUnknownKind = func(err error) { l.Log.Error(event.PeerUnknownFrameKind, err, nil) }
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	l.attach(c)
	l.OnChange(l, true)
	err := <-ended
	l.detach(c)
	l.OnChange(l, false)
	if ctx.Err() == nil {
		peer.LogFailure(l.Log, err, l.Name)
	}
}

// attach makes c the connection and resumes the open requests on it. Requests
// of another incarnation of the agent cannot be resumed.
func (l *Link) attach(c *peer.Conn) {
	l.mu.Lock()
	l.conn = c
	if l.exchanges == nil {
		l.exchanges = map[frame.ID]*Exchange{}
	}
	replaced := l.incarnation != c.Peer().Incarnation()
	l.incarnation = c.Peer().Incarnation()
	open := make([]*Exchange, 0, len(l.exchanges))
	for _, e := range l.exchanges {
		open = append(open, e)
	}
	l.mu.Unlock()
	l.Log.Emit(event.PeerConnected, event.Fields{"peer": l.Name, "resumed": len(open)})
	for _, e := range open {
		if replaced {
			e.push(Lost{})
			continue
		}
		_ = c.Send(e.id, frame.NewResume(e.position()))
	}
}

func (l *Link) detach(c *peer.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.lostAt = nil, l.Clock.Now()
}

// expire gives up requests that have waited too long for a new connection.
func (l *Link) expire() {
	l.mu.Lock()
	late := l.conn == nil && l.Clock.Now()-l.lostAt >= resumeLife
	l.mu.Unlock()
	if late {
		l.abandon(func(*Exchange) bool { return true })
	}
}

func (l *Link) abandon(which func(*Exchange) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.exchanges {
		if which(e) {
			e.push(Lost{})
		}
	}
}

// Connected tells whether requests can be submitted.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// Open returns the number of open exchanges.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.exchanges)
}

// Submit sends m as request id. After ErrNotConnected nothing has been sent.
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
	// A failed Send still leaves the exchange open: its connection has ended, and
	// Resume will tell whether the agent received the request.
	if err := c.Send(id, m); err != nil && !errors.Is(err, peer.ErrClosed) {
		l.forget(e)
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	return e, nil
}

func (l *Link) forget(e *Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.exchanges, e.id)
}

func (l *Link) close(e *Exchange) {
	l.forget(e)
	l.send(e.id, &frame.Cancel{})
}

// send sends m if there is a connection; Resume replaces what is lost.
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
		l.answered(id, state)
		return
	}
	if crash, ok := m.(*frame.Crash); ok {
		l.crashed(crash)
		return
	}
	e := l.exchange(id)
	if e == nil {
		l.stray(id)
		return
	}
	switch m := m.(type) {
	case *frame.Accepted:
		e.push(Accepted{})
	case *frame.Refused:
		e.push(Refused{refusalOf(m)})
	case *frame.AnswerHead:
		e.push(Head{m})
	case *frame.Data:
		if !e.data(m) {
			l.stray(id)
		}
	case *frame.End:
		if !e.end(m) {
			l.Log.Emit(event.ResponseMismatch, event.Fields{"peer": l.Name, "request": id.Sequence()})
		}
	case *frame.Gone:
		e.push(Lost{notRun: !m.Ran() && m.Incarnation() == c.Peer().Incarnation()})
	default:
		l.stray(id)
	}
}

func (l *Link) stray(id frame.ID) {
	l.Log.Emit(event.PeerUnmatchedFrame, event.Fields{"peer": l.Name, "request": id.Sequence()})
}

func refusalOf(m *frame.Refused) *outcome.Refusal {
	result := outcome.Unknown
	if m.NotRun() {
		result = outcome.NotRun
	}
	return outcome.Refuse(outcome.Code(m.Code()), result, m.RetryAfterMs())
}
