package session

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/drainflag"
)

const (
	markedChat   = `{"model":"redactor","messages":[{"role":"user","content":"poison"}]}`
	innocentChat = `{"model":"redactor","messages":[{"role":"user","content":"carta"}]}`
	// restart is how long a failed fake refuses connections.
	restart = 10 * time.Millisecond
)

// isDown reports whether an upstream refuses connections.
func (s *session) isDown(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[name]
}

// fragile is an upstream that a marked request crashes after 30 ms. Others take
// 100 ms, and break off when it crashes.
type fragile struct {
	name    string
	session *session
	mu      sync.Mutex
	crashes int
	died    chan struct{}
}

// begin starts the upstream in the session's virtual time.
func (f *fragile) begin(s *session) {
	f.session, f.died = s, make(chan struct{})
}

// life returns a channel that is closed when the present process dies.
func (f *fragile) life() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.died
}

func (f *fragile) run(_ context.Context, m *frame.Submit, answer upstream.ResponseWriter) error {
	if f.session.isDown(f.name) {
		return upstream.ErrNotStarted
	}
	life := f.life()
	if bytes.Contains(m.Call().Body(), []byte("poison")) {
		time.Sleep(30 * time.Millisecond)
		f.crash()
		return upstream.ErrInterrupted
	}
	select {
	case <-life:
		return upstream.ErrInterrupted
	case <-time.After(100 * time.Millisecond):
	}
	answer.Head(frame.NewResponseHead(200, nil))
	_, err := answer.Write([]byte(`{"letter":1}`))
	return err
}

func (f *fragile) crash() {
	f.session.note("fault", "%s crashes", f.name)
	f.setDown(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	close(f.died)
	f.died = make(chan struct{})
	time.AfterFunc(restart, func() { f.setDown(false) })
}

func (f *fragile) setDown(down bool) {
	f.session.mu.Lock()
	defer f.session.mu.Unlock()
	f.session.down[f.name] = down
}

// twoFragile returns two upstreams and their scripts.
func twoFragile() (both []*fragile, upstreams map[string]script) {
	upstreams = map[string]script{}
	for _, name := range []string{"bilbao-redactor", "oviedo-redactor"} {
		f := &fragile{name: name}
		both = append(both, f)
		upstreams[name] = f.run
	}
	return both, upstreams
}

// startOnBilbao lets the next request start in bilbao and later ones run in both.
func (s *session) startOnBilbao(upstreams map[string]script) {
	s.configure(2, drainflag.NewSet(drainflag.DataCentre("oviedo")), upstreams)
	time.AfterFunc(10*time.Millisecond, func() { s.configure(3, drainflag.Set{}, upstreams) })
}

// Guards against a request that crashes a third upstream when its caller sends
// it again, and against a refusal that claims that it never ran.
func TestMarkedRequestIsQuarantined(t *testing.T) {
	both, upstreams := twoFragile()
	run(t, "quarantined", upstreams, func(s *session) {
		for _, f := range both {
			f.begin(s)
		}
		s.startOnBilbao(upstreams)
		for range 3 {
			s.call("POST", "/v1/chat/completions", markedChat)
			s.wait(1000)
		}
	})
	check.Equal(t, "crashes", both[0].crashes+both[1].crashes, 2)
}

// answered is what a caller saw.
type answered struct {
	status  int
	outcome string
	body    string
}

func (s *session) ask(body string) answered {
	q := httptest.NewRequestWithContext(s.ctx, "POST", "/v1/chat/completions", strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer k")
	w := httptest.NewRecorder()
	serve(s.caller, w, q)
	return answered{w.Code, w.Header().Get(outcome.Header), w.Body.String()}
}

// Guards against the quarantine or the failure of a request that was only in
// flight beside the one that crashes its upstream.
func TestInnocentRunsAgain(t *testing.T) {
	both, upstreams := twoFragile()
	play(t, upstreams, func(s *session) {
		for _, f := range both {
			f.begin(s)
		}
		// Retries are a tenth of first attempts.
		for range 30 {
			s.ask(chat)
		}
		s.startOnBilbao(upstreams)
		var guilty, innocent answered
		var done sync.WaitGroup
		done.Go(func() { innocent = s.ask(innocentChat) })
		done.Go(func() { guilty = s.ask(markedChat) })
		done.Wait()
		want := answered{200, "", `{"letter":1}`}
		check.Equal(t, "innocent beside the crash", innocent, want)
		s.wait(1000) // the crashed upstreams are back
		check.Equal(t, "innocent sent again", s.ask(innocentChat), want)
		check.Equal(t, "guilty is quarantined", strings.Contains(guilty.body, `"code":"quarantined"`), true)
		check.Equal(t, "guilty may have run", guilty.outcome, string(outcome.Unknown))
		check.Equal(t, "crashes", both[0].crashes+both[1].crashes, 2)
	})
}
