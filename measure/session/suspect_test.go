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
	crashingChat = `{"model":"redactor","messages":[{"role":"user","content":"poison"}]}`
	harmlessChat = `{"model":"redactor","messages":[{"role":"user","content":"carta"}]}`
	// restartDuration is how long a crashed upstream refuses connections.
	restartDuration = 10 * time.Millisecond
)

// isDown reports whether an upstream refuses connections.
func (s *session) isDown(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[name]
}

// crashableUpstream is an upstream that crashes 30 ms after it receives a request
// that contains "poison". Other requests take 100 ms and are interrupted by a
// crash.
type crashableUpstream struct {
	name       string
	session    *session
	mu         sync.Mutex
	crashes    int
	terminated chan struct{}
}

// start starts the upstream in the virtual time of the session.
func (f *crashableUpstream) start(s *session) {
	f.session, f.terminated = s, make(chan struct{})
}

// processTerminated returns a channel that is closed when the current process
// crashes.
func (f *crashableUpstream) processTerminated() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.terminated
}

func (f *crashableUpstream) run(_ context.Context, m *frame.Submit, response upstream.ResponseWriter) error {
	if f.session.isDown(f.name) {
		return upstream.ErrNotStarted
	}
	processTerminated := f.processTerminated()
	if bytes.Contains(m.Call().Body(), []byte("poison")) {
		time.Sleep(30 * time.Millisecond)
		f.crash()
		return upstream.ErrInterrupted
	}
	select {
	case <-processTerminated:
		return upstream.ErrInterrupted
	case <-time.After(100 * time.Millisecond):
	}
	response.Head(frame.NewResponseHead(200, nil))
	_, err := response.Write([]byte(`{"letter":1}`))
	return err
}

func (f *crashableUpstream) crash() {
	f.session.addLine("fault", "%s crashes", f.name)
	f.setDown(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	close(f.terminated)
	f.terminated = make(chan struct{})
	time.AfterFunc(restartDuration, func() { f.setDown(false) })
}

func (f *crashableUpstream) setDown(down bool) {
	f.session.mu.Lock()
	defer f.session.mu.Unlock()
	f.session.down[f.name] = down
}

// twoCrashableUpstreams returns two upstreams and their handlers by name.
func twoCrashableUpstreams() (both []*crashableUpstream, upstreams map[string]fakeUpstream) {
	upstreams = map[string]fakeUpstream{}
	for _, name := range []string{"bilbao-redactor", "oviedo-redactor"} {
		f := &crashableUpstream{name: name}
		both = append(both, f)
		upstreams[name] = f.run
	}
	return both, upstreams
}

// startOnBilbao drains oviedo for 10 ms, so that the next request starts in
// bilbao and later ones can run in both data centres.
func (s *session) startOnBilbao(upstreams map[string]fakeUpstream) {
	s.configure(2, drainflag.NewSet(drainflag.DataCentre("oviedo")), upstreams)
	time.AfterFunc(10*time.Millisecond, func() { s.configure(3, drainflag.Set{}, upstreams) })
}

// Guards against a request that crashes a third upstream when its caller retries
// it, and against a refusal that states that the request never ran.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	both, upstreams := twoCrashableUpstreams()
	runGolden(t, "quarantined", upstreams, func(s *session) {
		for _, f := range both {
			f.start(s)
		}
		s.startOnBilbao(upstreams)
		for range 3 {
			s.call("POST", "/v1/chat/completions", crashingChat)
			s.wait(1000)
		}
	})
	check.Equal(t, "crashes", both[0].crashes+both[1].crashes, 2)
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status  int
	outcome string
	body    string
}

func (s *session) request(body string) callerResponse {
	q := httptest.NewRequestWithContext(s.ctx, "POST", "/v1/chat/completions", strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer k")
	w := httptest.NewRecorder()
	serve(s.caller, w, q)
	return callerResponse{w.Code, w.Header().Get(outcome.Header), w.Body.String()}
}

// Guards against the quarantine or failure of a request that was only in flight
// on the same upstream as the request that crashed it.
func TestRequestBesideCrashIsRetried(t *testing.T) {
	both, upstreams := twoCrashableUpstreams()
	recordSession(t, upstreams, func(s *session) {
		for _, f := range both {
			f.start(s)
		}
		// The retry budget is a tenth of first attempts.
		for range 30 {
			s.request(chat)
		}
		s.startOnBilbao(upstreams)
		var crashing, harmless callerResponse
		var done sync.WaitGroup
		done.Go(func() { harmless = s.request(harmlessChat) })
		done.Go(func() { crashing = s.request(crashingChat) })
		done.Wait()
		want := callerResponse{200, "", `{"letter":1}`}
		check.Equal(t, "harmless request beside the crash", harmless, want)
		s.wait(1000) // until the crashed upstreams have restarted
		check.Equal(t, "harmless request sent again", s.request(harmlessChat), want)
		check.Equal(t, "crashing request is quarantined", strings.Contains(crashing.body, `"code":"quarantined"`), true)
		check.Equal(t, "crashing request may have run", crashing.outcome, string(outcome.Unknown))
		check.Equal(t, "crashes", both[0].crashes+both[1].crashes, 2)
	})
}
