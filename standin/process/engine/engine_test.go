package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/request/answer"
)

// engineServer serves an engine on the loopback interface.
type engineServer struct {
	engine    *Engine
	url       string
	restarted chan struct{}
}

func (r *engineServer) Crashed(Counts) {}

func (r *engineServer) Restarted() { r.restarted <- struct{}{} }

func fastOptions() Options {
	o := Defaults()
	o.FirstTokenBase, o.FirstTokenPerToken, o.BetweenTokens = 0, 0, 0
	o.RestartMs = 1
	return o
}

func startEngine(t *testing.T, o Options) *engineServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "listen", err)
	r := &engineServer{engine: New(o, clock.System()), url: "http://" + listener.Addr().String(), restarted: make(chan struct{}, 8)}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.engine.Run(ctx, listener, r) }()
	t.Cleanup(func() {
		stop()
		check.NoError(t, "run", <-ended)
	})
	return r
}

func (r *engineServer) post(t *testing.T, path, body string, header ...string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest("POST", r.url+path, strings.NewReader(body))
	check.NoError(t, "request", err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return http.DefaultTransport.RoundTrip(request)
}

func chatBodyJSON(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

func (r *engineServer) postChat(t *testing.T, body string, header ...string) (string, error) {
	t.Helper()
	response, err := r.post(t, "/v1/chat/completions", body, header...)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return string(raw), err
}

// streamedText joins the tokens of a streamed response.
func streamedText(t *testing.T, stream string) string {
	t.Helper()
	var out strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c completion
		check.NoError(t, "event", json.Unmarshal([]byte(data), &c))
		out.WriteString(c.Choices[0].Delta.Content)
	}
	return out.String()
}

func TestChatResponses(t *testing.T) {
	r := startEngine(t, fastOptions())
	const prompt = "Resume la reparación ⅓"
	want := answer.New(prompt).Range(0, 5)

	streamed, err := r.postChat(t, chatBodyJSON(prompt, 5, true))
	check.NoError(t, "stream", err)
	check.Equal(t, "streamed text", streamedText(t, streamed), want)
	check.Equal(t, "terminator", strings.HasSuffix(streamed, "data: [DONE]\n\n"), true)
	check.Equal(t, "usage in the last chunk", strings.Contains(streamed, `"completion_tokens":5`), true)

	whole, err := r.postChat(t, chatBodyJSON(prompt, 5, false))
	check.NoError(t, "whole", err)
	var c completion
	check.NoError(t, "decode", json.Unmarshal([]byte(whole), &c))
	check.Equal(t, "whole text", c.Choices[0].Message.Content, want)

	resumed, err := r.postChat(t, chatBodyJSON(prompt, 5, true), "X-Resume-Offset", "3")
	check.NoError(t, "resume", err)
	check.Equal(t, "bytes from the offset on", strings.HasSuffix(streamed, resumed), true)
	check.Equal(t, "resumed text", streamedText(t, resumed), want[3*answer.TokenBytes:])

	response, err := r.post(t, "/v1/chat/completions", chatBodyJSON(prompt, 5, true), "X-Resume-Offset", "3", incarnationHeader, "0")
	check.NoError(t, "resume of another incarnation", err)
	check.Equal(t, "status", response.StatusCode, http.StatusConflict)
	check.NoError(t, "close", response.Body.Close())

	for _, malformed := range []string{"{", `{"messages":[]}`, chatBodyJSON(prompt, -1, true)} {
		response, err := r.post(t, "/v1/chat/completions", malformed)
		check.NoError(t, "malformed", err)
		check.Equal(t, "status", response.StatusCode, http.StatusBadRequest)
		check.NoError(t, "close", response.Body.Close())
	}
}

// Guards against an injected fault that a reader cannot tell from a complete response.
func TestStreamFaults(t *testing.T) {
	r := startEngine(t, fastOptions())
	r.engine.SetFault(Fault{BreakStreams: 1, EndEarlyStreams: 1, MalformedStreams: 1})
	broken, err := r.postChat(t, chatBodyJSON("p", 6, true))
	check.Equal(t, "aborted stream returns an error", err != nil, true)
	check.Equal(t, "events before the abort", strings.Count(broken, "data: "), 3)
	early, err := r.postChat(t, chatBodyJSON("p", 6, true))
	check.NoError(t, "early end", err)
	check.Equal(t, "terminator", strings.Contains(early, "[DONE]"), false)
	malformed, err := r.postChat(t, chatBodyJSON("p", 6, true))
	check.NoError(t, "malformed", err)
	check.Equal(t, "malformed event", strings.Contains(malformed, "\"content\":\"\n\n"), true)
	whole, err := r.postChat(t, chatBodyJSON("p", 6, true))
	check.NoError(t, "whole", err)
	check.Equal(t, "whole text", streamedText(t, whole), answer.New("p").Range(0, 6))
}

// Guards against a crashed engine that still responds, keeps its incarnation or does
// not restart.
func TestCrash(t *testing.T) {
	o := fastOptions()
	o.CrashMarker = "poison"
	r := startEngine(t, o)
	before := r.engine.state.incarnation
	_, err := r.postChat(t, chatBodyJSON("some poison", 5, true))
	check.Equal(t, "poisoned request fails", err != nil, true)
	<-r.restarted
	r.engine.SetFault(Fault{Crash: true})
	<-r.restarted
	_, err = r.postChat(t, chatBodyJSON("clean", 5, true))
	check.NoError(t, "after the restart", err)
	check.Equal(t, "new incarnation", r.engine.state.incarnation != before, true)
	check.Equal(t, "crashes", r.engine.Counts().Crashes, 2)
	check.Equal(t, "last reason", r.engine.Counts().LastCrash, faultInjected)
}

// Guards against a cancelled request that stays in memory, for example because the
// engine is blocked in a write to a reader that has stopped.
func TestCancelOfStoppedReader(t *testing.T) {
	r := startEngine(t, fastOptions())
	response, err := r.post(t, "/v1/chat/completions", chatBodyJSON("long", 1_000_000, true), "X-Request-Id", "id")
	check.NoError(t, "start", err)
	check.Equal(t, "incarnation", response.Header.Get("X-Incarnation"), strconv.FormatUint(r.engine.state.incarnation, 10))
	defer response.Body.Close()
	inFlight := func() int {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.state.inFlight
	}
	check.Equal(t, "in flight", inFlight(), 1)
	cancelled, err := r.post(t, "/v1/cancel", `{"requestId":"id"}`)
	check.NoError(t, "cancel", err)
	check.Equal(t, "status", cancelled.StatusCode, http.StatusNoContent)
	_, err = io.Copy(io.Discard, response.Body)
	check.Equal(t, "reader receives an error", err != nil, true)
	for inFlight() != 0 {
		time.Sleep(time.Millisecond)
	}
	cancelled, err = r.post(t, "/v1/cancel", `{"requestId":"id"}`)
	check.NoError(t, "cancel again", err)
	check.Equal(t, "status", cancelled.StatusCode, http.StatusNotFound)
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		checks bool
		want   int
	}{{true, http.StatusConflict}, {false, http.StatusNoContent}} {
		t.Run(fmt.Sprint(c.checks), func(t *testing.T) {
			o := fastOptions()
			o.ChecksFencing = c.checks
			r := startEngine(t, o)
			for _, step := range []struct{ fence, want int }{{5, http.StatusNoContent}, {4, c.want}, {5, http.StatusNoContent}} {
				response, err := r.post(t, "/orders", fmt.Sprintf(`{"fence":%d,"order":"loadModel","argument":"m"}`, step.fence))
				check.NoError(t, "order", err)
				check.Equal(t, "status", response.StatusCode, step.want)
			}
		})
	}
}

func TestLoadReportLags(t *testing.T) {
	c := clock.NewManual(1000)
	e := New(Defaults(), c)
	get := func() Load {
		var l Load
		w := httptest.NewRecorder()
		r, _ := http.NewRequest("GET", "/load", nil)
		e.ServeHTTP(w, r)
		check.NoError(t, "decode", json.Unmarshal(w.Body.Bytes(), &l))
		return l
	}
	c.Advance(clock.Second)
	check.Equal(t, "cold at the start", get().Cold, true)
	e.mu.Lock()
	for range 64 {
		j, _ := e.state.admit(1, 0)
		e.state.release(j, true)
	}
	e.recordLoad()
	e.mu.Unlock()
	check.Equal(t, "still cold in the report", get().Cold, true)
	c.Advance(clock.Second)
	check.Equal(t, "warm in the report", get().Cold, false)
}

// Guards against an engine that keeps generating while the reader is stopped: the
// unread tokens would fill the memory of agent and engine.
func TestStoppedReaderBlocksStream(t *testing.T) {
	r := startEngine(t, fastOptions())
	response, err := r.post(t, "/v1/chat/completions", chatBodyJSON("long", 1_000_000, true))
	check.NoError(t, "start", err)
	defer response.Body.Close()
	tokens := func() int {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.state.inFlightTokens
	}
	// The stream stalls once the buffers between both ends are full.
	for before := -1; before != tokens(); time.Sleep(20 * time.Millisecond) {
		before = tokens()
	}
	check.Equal(t, "paused before the end", tokens() < 1_000_000, true)
	check.Equal(t, "still in flight", tokens() > 0, true)
	check.Equal(t, "crashes", r.engine.Counts().Crashes, 0)
}

// Guards against a response that does not count as completed, and so does not warm
// the engine up, because its reader disconnected right after the terminator.
func TestClientDisconnectsAfterTerminator(t *testing.T) {
	r := startEngine(t, fastOptions())
	const requests = 50
	for range requests {
		response, err := r.post(t, "/v1/chat/completions", chatBodyJSON("p", 3, true))
		check.NoError(t, "start", err)
		for lines := bufio.NewScanner(response.Body); lines.Scan() && lines.Text() != "data: [DONE]"; {
		}
		check.NoError(t, "close", response.Body.Close())
	}
	for r.engine.Counts().Completed < requests {
		time.Sleep(time.Millisecond)
	}
}
