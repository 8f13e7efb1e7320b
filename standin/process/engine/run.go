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

// run is the handling of one held request.
type run struct {
	engine *Engine
	chat   *chat
	job    *job
	life   *life
	// incarnation is sent with the answer; a caller resumes a stream only where
	// it is the same.
	incarnation uint64
	use         promptUse
	fault       streamFault
	ctx         context.Context
	writer      http.ResponseWriter
	// due is when the next token is generated.
	due time.Time
}

// chat answers a chat request.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	c, err := parseChat(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.resume > 0 && !e.holds(r.Header.Get(incarnationHeader)) {
		http.Error(w, "stream of another incarnation", http.StatusConflict)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	u := e.admit(c, cancel)
	if u == nil {
		panic(http.ErrAbortHandler)
	}
	u.ctx, u.writer = ctx, w
	w.Header().Set(incarnationHeader, strconv.FormatUint(u.incarnation, 10))
	defer context.AfterFunc(u.life.ctx, cancel)()
	// A blocked write to a slow reader ends when the request does.
	defer context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })()
	completed := u.answer()
	e.release(u, completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
}

// holds tells whether a stream of an incarnation can be resumed here. A caller
// that names none takes what it gets.
func (e *Engine) holds(incarnation string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return incarnation == "" || incarnation == strconv.FormatUint(e.state.incarnation, 10)
}

// admit holds the request; nil when the engine fails from it.
func (e *Engine) admit(c *chat, cancel context.CancelFunc) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.ctx.Err() != nil {
		return nil
	}
	u := &run{engine: e, chat: c, life: e.life, incarnation: e.state.incarnation}
	u.use = e.usePrompt(c.prompt)
	j, why := e.state.admit(u.use.tokens+c.resume, c.priority)
	if why != healthy {
		e.crash(why)
		return nil
	}
	u.job = j
	if c.stream {
		u.fault = e.fault.next()
	}
	if c.id != "" {
		e.active[c.id] = cancel
	}
	e.report()
	return u
}

func (e *Engine) release(u *run, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, u.chat.id)
	if e.life != u.life || u.life.ctx.Err() != nil {
		return
	}
	e.state.release(u.job, completed)
	e.report()
}

// answer writes the answer and reports whether the request ran to its end. A
// stream that a fault ends early has run as far as the engine knows.
func (u *run) answer() bool {
	if !u.start() {
		return false
	}
	if u.chat.stream {
		return u.streamed()
	}
	return u.whole()
}

// start waits for a place in the batch and for the first token.
func (u *run) start() bool {
	select {
	case <-u.job.ready:
	case <-u.ctx.Done():
		return false
	}
	e := u.engine
	e.mu.Lock()
	wait := e.options.firstToken(u.use.tokens-u.use.cached, e.state.running-1, e.state.cold())
	if marker := e.options.CrashMarker; marker != "" && strings.Contains(u.chat.prompt, marker) {
		e.crash(markerFound)
	}
	e.mu.Unlock()
	u.due = time.Now().Add(wait)
	return u.sleep()
}

// sleep waits until the next token is due.
func (u *run) sleep() bool {
	if wait := time.Until(u.due); wait > 0 && !pause(u.ctx, wait) {
		return false
	}
	for {
		stalled := u.engine.stalled()
		if stalled <= 0 {
			return u.ctx.Err() == nil
		}
		if !pause(u.ctx, stalled.Duration()) {
			return false
		}
	}
}

func (e *Engine) stalled() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stall - e.clock.Now()
}

// next accounts for the token at index and waits until the following one is due.
func (u *run) next(index int) bool {
	if !u.grow() {
		return false
	}
	return index+1 == u.chat.tokens || u.sleep()
}

// grow holds one more token and sets when the following one is due.
func (u *run) grow() bool {
	e := u.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.life.ctx.Err() != nil {
		return false
	}
	if why := e.state.grow(u.job); why != healthy {
		e.crash(why)
		return false
	}
	between := e.options.betweenTokens(e.state.running - 1)
	u.due = u.due.Add(between)
	// A stream that its reader held back goes on at the usual pace.
	if now := time.Now(); u.due.Before(now) {
		u.due = now
	}
	return true
}

func (u *run) streamed() bool {
	u.writer.Header().Set("Content-Type", "text/event-stream")
	middle := (u.chat.resume + u.chat.tokens) / 2
	for i := u.chat.resume; i < u.chat.tokens; i++ {
		if i == middle && u.fault != streamWhole {
			if done, completed := u.inject(); done {
				return completed
			}
		}
		if !u.send(u.chat.chunk(i)) || !u.next(i) {
			return false
		}
	}
	// A reader that has seen the terminator may leave at once; its answer was
	// generated to the end all the same.
	return u.write(u.chat.last(u.use.cached))
}

// inject causes the stream's fault. It reports whether the answer ends here and
// whether it then ends as if complete.
func (u *run) inject() (done, completed bool) {
	switch u.fault {
	case streamBroken:
		return true, false
	case streamEndsEarly:
		return true, true
	case streamMalformed:
		return !u.send([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"\n\n")), false
	}
	return false, false
}

func (u *run) whole() bool {
	for i := u.chat.resume; i < u.chat.tokens; i++ {
		if !u.next(i) {
			return false
		}
	}
	u.writer.Header().Set("Content-Type", "application/json")
	_, err := u.writer.Write(u.chat.whole(u.use.cached))
	return err == nil
}

// send writes an event and reports whether the answer goes on.
func (u *run) send(event []byte) bool { return u.write(event) && u.ctx.Err() == nil }

// write blocks while the reader's window is full.
func (u *run) write(event []byte) bool {
	if _, err := u.writer.Write(event); err != nil {
		return false
	}
	return http.NewResponseController(u.writer).Flush() == nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
