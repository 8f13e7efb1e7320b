package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestshore/core/process/clock"
)

// incarnationHeader carries the incarnation that gives an answer.
const incarnationHeader = "X-Incarnation"

// generation is the handling of one held request.
type generation struct {
	engine   *Engine
	chat     *chatRequest
	job      *job
	lifetime *lifetime
	// incarnation is sent with the answer; a caller resumes a stream only where
	// it is the same.
	incarnation uint64
	prompt      promptUsage
	fault       streamFault
	ctx         context.Context
	writer      http.ResponseWriter
	// due is when the next token is generated.
	due time.Time
}

// postChat answers a postChat request.
func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	c, err := parseChat(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.resumeOffset > 0 && !e.canResume(r.Header.Get(incarnationHeader)) {
		http.Error(w, "stream of another incarnation", http.StatusConflict)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g := e.admit(c, cancel)
	if g == nil {
		panic(http.ErrAbortHandler)
	}
	g.ctx, g.writer = ctx, w
	w.Header().Set(incarnationHeader, strconv.FormatUint(g.incarnation, 10))
	defer context.AfterFunc(g.lifetime.ctx, cancel)()
	// A blocked write to a slow reader ends when the request does.
	defer context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })()
	completed := g.respond()
	e.release(g, completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
}

// canResume tells whether a stream of an incarnation can be resumed here. A caller
// that names none takes what it gets.
func (e *Engine) canResume(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return incarnation == "" || incarnation == strconv.FormatUint(e.state.incarnation, 10)
}

// admit holds the request; nil when the engine fails from it.
func (e *Engine) admit(c *chatRequest, cancel context.CancelFunc) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lifetime.ctx.Err() != nil {
		return nil
	}
	g := &generation{engine: e, chat: c, lifetime: e.lifetime, incarnation: e.state.incarnation}
	g.prompt = e.countPromptTokens(c.prompt)
	j, reason := e.state.admit(g.prompt.tokens+c.resumeOffset, c.priority)
	if reason != healthy {
		e.crash(reason)
		return nil
	}
	g.job = j
	if c.stream {
		g.fault = e.fault.takeStreamFault()
	}
	if c.requestID != "" {
		e.cancelByID[c.requestID] = cancel
	}
	e.recordLoad()
	return g
}

func (e *Engine) release(g *generation, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancelByID, g.chat.requestID)
	if e.lifetime != g.lifetime || g.lifetime.ctx.Err() != nil {
		return
	}
	e.state.release(g.job, completed)
	e.recordLoad()
}

// respond writes the respond and reports whether the request ran to its end. A
// stream that a fault ends early has run as far as the engine knows.
func (g *generation) respond() bool {
	if !g.awaitFirstToken() {
		return false
	}
	if g.chat.stream {
		return g.writeStream()
	}
	return g.writeWhole()
}

// awaitFirstToken waits for a place in the batch and for the first token.
func (g *generation) awaitFirstToken() bool {
	select {
	case <-g.job.ready:
	case <-g.ctx.Done():
		return false
	}
	e := g.engine
	e.mu.Lock()
	wait := e.options.timeToFirstToken(g.prompt.tokens-g.prompt.cached, e.state.running-1, e.state.cold())
	if marker := e.options.CrashMarker; marker != "" && strings.Contains(g.chat.prompt, marker) {
		e.crash(markerFound)
	}
	e.mu.Unlock()
	g.due = time.Now().Add(wait)
	return g.awaitNextToken()
}

// awaitNextToken waits until the next token is due.
func (g *generation) awaitNextToken() bool {
	if wait := time.Until(g.due); wait > 0 && !sleep(g.ctx, wait) {
		return false
	}
	for {
		stalled := g.engine.stallRemaining()
		if stalled <= 0 {
			return g.ctx.Err() == nil
		}
		if !sleep(g.ctx, stalled.Duration()) {
			return false
		}
	}
}

func (e *Engine) stallRemaining() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalledUntil - e.clock.Now()
}

// finishToken accounts for the token at index and waits until the following one is due.
func (g *generation) finishToken(index int) bool {
	if !g.addToken() {
		return false
	}
	return index+1 == g.chat.maxTokens || g.awaitNextToken()
}

// addToken holds one more token and sets when the following one is due.
func (g *generation) addToken() bool {
	e := g.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.lifetime.ctx.Err() != nil {
		return false
	}
	if reason := e.state.addToken(g.job); reason != healthy {
		e.crash(reason)
		return false
	}
	interval := e.options.timeBetweenTokens(e.state.running - 1)
	g.due = g.due.Add(interval)
	// A stream that its reader held back goes on at the usual pace.
	if now := time.Now(); g.due.Before(now) {
		g.due = now
	}
	return true
}

func (g *generation) writeStream() bool {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	middle := (g.chat.resumeOffset + g.chat.maxTokens) / 2
	for i := g.chat.resumeOffset; i < g.chat.maxTokens; i++ {
		if i == middle && g.fault != noStreamFault {
			if done, completed := g.injectFault(); done {
				return completed
			}
		}
		if !g.send(g.chat.chunk(i)) || !g.finishToken(i) {
			return false
		}
	}
	// A reader that has seen the terminator may leave at once; its answer was
	// generated to the end all the same.
	return g.write(g.chat.finalEvents(g.prompt.cached))
}

// injectFault causes the stream's fault. It reports whether the answer ends here and
// whether it then ends as if complete.
func (g *generation) injectFault() (done, completed bool) {
	switch g.fault {
	case streamBroken:
		return true, false
	case streamEndsEarly:
		return true, true
	case streamMalformed:
		return !g.send([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"\n\n")), false
	}
	return false, false
}

func (g *generation) writeWhole() bool {
	for i := g.chat.resumeOffset; i < g.chat.maxTokens; i++ {
		if !g.finishToken(i) {
			return false
		}
	}
	g.writer.Header().Set("Content-Type", "application/json")
	_, err := g.writer.Write(g.chat.responseBody(g.prompt.cached))
	return err == nil
}

// send writes an event and reports whether the answer goes on.
func (g *generation) send(event []byte) bool { return g.write(event) && g.ctx.Err() == nil }

// write blocks while the reader's window is full.
func (g *generation) write(event []byte) bool {
	if _, err := g.writer.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(g.writer).Flush() == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
