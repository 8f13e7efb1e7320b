package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/request/stream"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
)

const (
	// heartbeatInterval is short so that entries route by recent load reports.
	heartbeatInterval = 250 * clock.Millis(1)
	expiryInterval    = 1 * clock.Second
)

// Gate decides which requests are admitted to the upstream.
type Gate interface {
	// Submit requests admission. onDecision is called once: with nil if the
	// request is admitted, otherwise with its refusal.
	Submit(id frame.ID, m *frame.Submit, onDecision func(*outcome.Refusal))
	// FirstByte reports that the response body has begun.
	FirstByte(id frame.ID)
	// Done reports that an admitted request has ended at the upstream.
	Done(id frame.ID, err error)
	// Withdraw cancels a request that may still wait for admission.
	Withdraw(id frame.ID)
}

// Upstream runs admitted requests.
type Upstream interface {
	Run(ctx context.Context, id string, m *frame.Submit, response upstream.ResponseWriter) error
}

// Server serves the requests of all entries. Exported fields are set before
// Start.
type Server struct {
	Clock    *clock.Clock
	Log      *event.Log
	Gate     Gate
	Upstream Upstream
	// Heartbeat returns the heartbeat to send, with the load report.
	Heartbeat func() *frame.Heartbeat
	// OnHeartbeat is called for each heartbeat of an entry.
	OnHeartbeat func(*frame.Heartbeat)
	// Incarnation is the incarnation of this agent.
	Incarnation uint64
	// MaxStreamBytes limits the buffered response bytes of all requests together.
	MaxStreamBytes int64

	table            *table
	records          *records
	crashBroadcaster crashBroadcaster
	ctx              context.Context
}

// Run expires abandoned requests until ctx is done.
func (s *Server) Run(ctx context.Context) {
	clock.Every(ctx, expiryInterval, func() {
		for _, id := range s.table.expire(s.Clock.Now()) {
			s.drop(id)
		}
	})
}

// Start initializes the server; call it before Serve and Run. Requests run under
// ctx.
func (s *Server) Start(ctx context.Context) {
	s.table, s.records, s.ctx = newTable(), newRecords(), ctx
}

// InFlight returns the number of unfinished requests.
func (s *Server) InFlight() int { return s.table.len() }

// UnackedBytes returns the number of buffered response bytes that entries have
// not acknowledged.
func (s *Server) UnackedBytes() int {
	total := 0
	for _, r := range s.table.all() {
		total += r.response.RetainedBytes()
	}
	return total
}

// Serve handles one connection until it ends.
func (s *Server) Serve(ctx context.Context, c *peer.Conn) {
	c.Handle = func(id frame.ID, m frame.Message) { s.handle(c, id, m) }
	c.Heartbeat, c.OnHeartbeat = s.Heartbeat, s.OnHeartbeat
	c.HeartbeatInterval = heartbeatInterval
	c.OnUnknownKind = func(err error) { s.Log.Error(event.PeerUnknownFrameKind, err, nil) }
	s.Log.Emit(event.PeerConnected, event.Fields{"peer": c.Peer().Instance()})
	defer s.subscribeCrashes(c)()
	err := c.Run(ctx)
	if ctx.Err() == nil {
		peer.LogFailure(s.Log, err, c.Peer().Instance())
	}
	for _, r := range s.table.all() {
		r.response.Detach(c)
	}
}

func (s *Server) handle(c *peer.Conn, id frame.ID, m frame.Message) {
	switch m := m.(type) {
	case *frame.Submit:
		s.submit(c, id, m)
	case *frame.Credit:
		s.credit(id, m)
	case *frame.Cancel:
		s.drop(id)
	case *frame.Resume:
		s.resume(c, id, m)
	case *frame.ClaimQuery:
		s.claimQuery(c, id, m)
	default:
		s.logUnmatched(id)
	}
}

func (s *Server) logUnmatched(id frame.ID) {
	s.Log.Emit(event.PeerUnmatchedFrame, event.Fields{"request": upstream.RequestID(id)})
}

func (s *Server) submit(c *peer.Conn, id frame.ID, m *frame.Submit) {
	if int64(s.table.len()+1)*stream.WindowBytes > s.MaxStreamBytes {
		s.table.getOrRefuse(id, s.Clock.Now())
		s.refuse(c, id, outcome.Refuse(outcome.StreamMemoryFull, outcome.NotRun, int64(clock.Second)))
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, clock.Millis(m.RequestOptions().DeadlineMs()).Duration())
	r := &request{submit: m, response: stream.New(id, c), cancel: cancel}
	switch s.table.insert(id, r) {
	case insertDuplicate:
		cancel()
		s.logUnmatched(id)
	case insertRefused:
		cancel()
		s.refuse(c, id, outcome.Refuse(outcome.ConnectionLost, outcome.NotRun, 0))
	case insertOK:
		if refusal := s.records.admit(s.Clock.Now(), m.RequestOptions().ClaimKey()); refusal != nil {
			s.table.remove(id, s.Clock.Now())
			cancel()
			s.refuse(c, id, refusal)
			return
		}
		s.Gate.Submit(id, m, func(refusal *outcome.Refusal) { s.onDecision(ctx, c, id, r, refusal) })
	}
}

// onDecision handles the decision of Gate: it starts an admitted request or sends
// the refusal.
func (s *Server) onDecision(ctx context.Context, c *peer.Conn, id frame.ID, r *request, refusal *outcome.Refusal) {
	if refusal != nil {
		s.table.remove(id, s.Clock.Now())
		r.cancel()
		s.records.rejected(s.Clock.Now(), r.submit.RequestOptions().ClaimKey())
		s.refuse(c, id, refusal)
		return
	}
	if !s.table.admit(id) {
		s.records.rejected(s.Clock.Now(), r.submit.RequestOptions().ClaimKey())
		s.Gate.Done(id, nil)
		return
	}
	go s.run(ctx, c, id, r)
}

func (s *Server) refuse(c *peer.Conn, id frame.ID, r *outcome.Refusal) {
	// If the connection is lost, the entry sends Resume and receives Gone.
	_ = c.Send(id, frame.NewRefused(string(r.Code()), r.RetryAfterMs(), r.Outcome() == outcome.NotRun))
}

// run executes an admitted request.
func (s *Server) run(ctx context.Context, c *peer.Conn, id frame.ID, r *request) {
	_ = c.Send(id, frame.NewAccepted(s.Incarnation))
	response := &firstByteObserver{Stream: r.response, onFirstByte: func() { s.Gate.FirstByte(id) }}
	captured := &capture{ResponseWriter: response, keyed: r.submit.RequestOptions().ClaimKey() != ""}
	err := s.Upstream.Run(ctx, upstream.RequestID(id), r.submit, captured)
	s.records.ended(s.Clock.Now(), r.submit.RequestOptions().ClaimKey(), captured, err)
	s.Gate.Done(id, err)
	r.response.Close(err == nil, string(endCode(ctx, err)))
}

// endCode returns the reason why a response is incomplete, "" for a complete one.
func endCode(ctx context.Context, err error) outcome.Code {
	switch {
	case err == nil:
		return ""
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceeded
	case errors.Is(err, upstream.ErrNotStarted):
		return outcome.NoUpstream
	}
	return outcome.UpstreamFailed
}

func (s *Server) credit(id frame.ID, m *frame.Credit) {
	r := s.table.get(id)
	if r == nil || r.response.Ack(m.Offset()) != nil {
		s.logUnmatched(id)
	}
}

// resume continues a response on a new connection. An absent ID is refused from
// then on, so that the reply Gone remains true.
func (s *Server) resume(c *peer.Conn, id frame.ID, m *frame.Resume) {
	r, ran := s.table.getOrRefuse(id, s.Clock.Now())
	if r == nil || r.response.Attach(c, m.Offset()) != nil {
		_ = c.Send(id, frame.NewGone(s.Incarnation, ran))
		return
	}
	s.Log.Emit(event.StreamResumed, event.Fields{"request": upstream.RequestID(id), "offset": m.Offset()})
}

// drop cancels a request whose entry no longer waits for the response.
func (s *Server) drop(id frame.ID) {
	r := s.table.remove(id, s.Clock.Now())
	if r == nil {
		return
	}
	if r.admitted && r.submit.RequestOptions().ClaimKey() != "" {
		// A keyed request runs to completion, so that a caller that retries the key
		// receives the response. Its context ends at the deadline.
		r.response.Cancel()
		return
	}
	s.Gate.Withdraw(id)
	if !r.admitted {
		s.records.rejected(s.Clock.Now(), r.submit.RequestOptions().ClaimKey())
	}
	r.cancel()
	r.response.Cancel()
}

// firstByteObserver calls onFirstByte at the first write of a response body.
type firstByteObserver struct {
	*stream.Stream
	onFirstByte func()
}

// Write calls onFirstByte at the first call and forwards p.
func (o *firstByteObserver) Write(p []byte) (int, error) {
	if o.onFirstByte != nil {
		o.onFirstByte()
		o.onFirstByte = nil
	}
	return o.Stream.Write(p)
}
