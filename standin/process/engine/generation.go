package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestshore/core/process/clock"
)

// incarnationHeader is the header with the incarnation that generates a response.
const incarnationHeader = "X-Incarnation"

// generation is the processing of one in-flight request.
type generation struct {
	engine      *Engine
	chatRequest *chatRequest
	job         *job
	lifetime    *lifetime
	// incarnation is sent with the response. A stream can be resumed only on the
	// incarnation that started it.
	incarnation uint64
	usage       promptUsage
	fault       streamFault
	ctx         context.Context
	writer      http.ResponseWriter
	// due is the time at which the next token is generated.
	due time.Time
}

// postChat handles a chat request.
func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	c, err := parseChat(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.resumeOffset > 0 && !e.canResume(r.Header.Get(incarnationHeader)) {
		http.Error(w, "cannot resume a stream of another incarnation", http.StatusConflict)
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
	// Interrupts a write blocked by a slow reader when the request is cancelled.
	defer context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })()
	completed := g.respond()
	e.release(g, completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
}

// canResume reports whether a stream of the given incarnation can be resumed on this
// engine. An empty incarnation matches any.
func (e *Engine) canResume(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return incarnation == "" || incarnation == strconv.FormatUint(e.state.incarnation, 10)
}

// admit adds the request to the engine's load. It returns nil if the engine has
// crashed or crashes because of the request.
func (e *Engine) admit(c *chatRequest, cancel context.CancelFunc) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lifetime.ctx.Err() != nil {
		return nil
	}
	g := &generation{engine: e, chatRequest: c, lifetime: e.lifetime, incarnation: e.state.incarnation}
	g.usage = e.countPromptTokens(c.prompt)
	j, reason := e.state.admit(g.usage.tokens+c.resumeOffset, c.priority)
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
	delete(e.cancelByID, g.chatRequest.requestID)
	if e.lifetime != g.lifetime || g.lifetime.ctx.Err() != nil {
		return
	}
	e.state.release(g.job, completed)
	e.recordLoad()
}

// respond writes the response and reports whether the request completed. A stream
// ended by EndEarlyStreams counts as completed.
func (g *generation) respond() bool {
	if !g.awaitFirstToken() {
		return false
	}
	if g.chatRequest.stream {
		return g.writeStream()
	}
	return g.fullResponse()
}

// awaitFirstToken waits until the request is in the batch and its first token is due.
func (g *generation) awaitFirstToken() bool {
	select {
	case <-g.job.ready:
	case <-g.ctx.Done():
		return false
	}
	e := g.engine
	e.mu.Lock()
	wait := e.options.timeToFirstToken(g.usage.tokens-g.usage.cached, e.state.running-1, e.state.cold())
	if marker := e.options.CrashMarker; marker != "" && strings.Contains(g.chatRequest.prompt, marker) {
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
		stallRemaining := g.engine.stallRemaining()
		if stallRemaining <= 0 {
			return g.ctx.Err() == nil
		}
		if !sleep(g.ctx, stallRemaining.Duration()) {
			return false
		}
	}
}

func (e *Engine) stallRemaining() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalledUntil - e.clock.Now()
}

// finishToken adds the token at index to the load and waits until the next one is due.
func (g *generation) finishToken(index int) bool {
	if !g.addToken() {
		return false
	}
	return index+1 == g.chatRequest.maxTokens || g.awaitNextToken()
}

// addToken adds one token to the engine's memory use and sets when the next one is due.
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
	// A stream that was blocked by its reader continues at the normal interval
	// instead of catching up.
	if now := time.Now(); g.due.Before(now) {
		g.due = now
	}
	return true
}

func (g *generation) writeStream() bool {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	middle := (g.chatRequest.resumeOffset + g.chatRequest.maxTokens) / 2
	for i := g.chatRequest.resumeOffset; i < g.chatRequest.maxTokens; i++ {
		if i == middle && g.fault != noStreamFault {
			if done, completed := g.injectFault(); done {
				return completed
			}
		}
		if !g.send(g.chatRequest.tokenEvent(i)) || !g.finishToken(i) {
			return false
		}
	}
	// Uses write instead of send: a reader may disconnect as soon as it has received
	// the terminator, and the response is complete nevertheless.
	return g.write(g.chatRequest.finalEvents(g.usage.cached))
}

// injectFault injects the stream's fault. It reports whether the response ends here
// and, if so, whether it counts as completed.
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

// fullResponse generates all tokens and writes a response that is not streamed.
func (g *generation) fullResponse() bool {
	for i := g.chatRequest.resumeOffset; i < g.chatRequest.maxTokens; i++ {
		if !g.finishToken(i) {
			return false
		}
	}
	g.writer.Header().Set("Content-Type", "application/json")
	_, err := g.writer.Write(g.chatRequest.fullResponse(g.usage.cached))
	return err == nil
}

// send writes an event and reports whether the response can continue.
func (g *generation) send(event []byte) bool { return g.write(event) && g.ctx.Err() == nil }

// write writes and flushes an event. It blocks while the reader's receive window is full.
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
