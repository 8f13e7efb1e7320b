package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/process/lagged"
	"goldcrestshore/standin/request/answer"
)

// Load is the load report. Readers receive it with a delay of Options.LoadLagMs.
type Load struct {
	InFlight       int    `json:"held"`
	InFlightTokens int    `json:"heldTokens"`
	Cold           bool   `json:"cold"`
	Incarnation    uint64 `json:"incarnation"`
	CapacityTokens int64  `json:"capacityTokens"`
}

// Order is a control command that changes the role of an engine or what it has loaded.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Order        string `json:"order"`
	Argument     string `json:"argument"`
}

// Engine is a stand-in for a model engine. Create it with New.
type Engine struct {
	options Options
	clock   *clock.Clock
	mux     *http.ServeMux

	mu           sync.Mutex
	state        *state
	cache        *cache
	load         lagged.Value[Load]
	fault        Fault
	stalledUntil clock.Millis
	lifetime     *lifetime
	cancelByID   map[string]context.CancelFunc
	orders       []Order
	fencingToken uint64
}

// lifetime is the context of one incarnation, which is cancelled when the engine crashes.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a cold engine.
func New(o Options, c *clock.Clock) *Engine {
	e := &Engine{options: o, clock: c, mux: http.NewServeMux(), cancelByID: map[string]context.CancelFunc{}}
	e.state = newState(&e.options)
	e.cache = newCache(&e.options)
	e.mux.HandleFunc("POST /v1/chat/completions", e.postChat)
	e.mux.HandleFunc("POST /v1/cancel", e.postCancel)
	e.mux.HandleFunc("GET /load", e.getLoad)
	e.mux.HandleFunc("GET /cacheEvents", e.getCacheEvents)
	e.mux.HandleFunc("POST /orders", e.postOrder)
	e.mux.HandleFunc("GET /orders", e.getOrders)
	e.mux.HandleFunc("PUT /fault", e.putFault)
	e.mux.HandleFunc("GET /counts", e.getCounts)
	e.startIncarnation()
	return e
}

// ServeHTTP implements http.Handler. A crashed engine aborts every connection.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.currentLifetime().ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns the totals since the process started.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.counts
}

// startIncarnation creates the lifetime of the incarnation in e.state. The caller
// holds the lock, except in New.
func (e *Engine) startIncarnation() {
	ctx, cancel := context.WithCancel(context.Background())
	e.lifetime = &lifetime{ctx, cancel}
	e.recordLoad()
}

// restart starts a new, cold incarnation after a crash.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.restart()
	e.cache.clear()
	e.fencingToken = 0
	e.orders = nil
	e.startIncarnation()
}

func (e *Engine) currentLifetime() *lifetime {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

// crash ends the current incarnation unless it has already ended. The caller holds
// the lock.
func (e *Engine) crash(reason crashReason) {
	if e.lifetime.ctx.Err() != nil {
		return
	}
	e.state.counts.Crashes++
	e.state.counts.LastCrash = reason
	e.lifetime.cancel()
}

// recordLoad adds the current load to the history from which delayed reports are
// served. The caller holds the lock.
func (e *Engine) recordLoad() {
	e.load.Set(e.clock.Now(), Load{
		InFlight:       e.state.inFlight,
		InFlightTokens: e.state.inFlightTokens,
		Cold:           e.state.cold(),
		Incarnation:    e.state.incarnation,
		CapacityTokens: e.options.MemoryBytes / max(1, e.options.BytesPerToken),
	})
}

// postCancel cancels an in-flight request by its ID.
func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"requestId"`
	}
	if !decode(w, r, &body) {
		return
	}
	e.mu.Lock()
	cancelRequest, found := e.cancelByID[body.RequestID]
	if found {
		e.state.counts.Cancelled++
	}
	e.mu.Unlock()
	if !found {
		http.Error(w, "unknown request ID", http.StatusNotFound)
		return
	}
	cancelRequest()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load.At(e.clock.Now() - e.options.LoadLagMs)
	if l.Incarnation == 0 {
		// No report is as old as LoadLagMs yet: report a cold, idle engine.
		l.Incarnation = e.state.incarnation
		l.Cold = true
		l.CapacityTokens = e.options.MemoryBytes / max(1, e.options.BytesPerToken)
	}
	e.mu.Unlock()
	writeJSON(w, l)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.after(after, e.clock.Now()-e.options.CacheLagMs)
	e.mu.Unlock()
	writeJSON(w, struct {
		Events []CacheEvent `json:"events"`
	}{events})
}

// postOrder accepts an order. If the engine checks fencing tokens, it refuses an
// order whose token is below the highest one received.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	stale := e.options.ChecksFencing && o.FencingToken < e.fencingToken
	if !stale {
		e.fencingToken = max(e.fencingToken, o.FencingToken)
		e.orders = append(e.orders, o)
	}
	e.mu.Unlock()
	if stale {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	orders := append([]Order{}, e.orders...)
	e.mu.Unlock()
	writeJSON(w, struct {
		Orders []Order `json:"orders"`
	}{orders})
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) }

func (e *Engine) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
	e.SetFault(f)
}

// SetFault replaces the injected fault.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.stalledUntil = e.clock.Now() + clock.Millis(f.StallMs)
	if f.Cold {
		e.state.turnCold()
		e.recordLoad()
	}
	if f.Crash {
		e.crash(faultInjected)
	}
}

// promptUsage is the length of a prompt and of its cached prefix, in tokens.
type promptUsage struct {
	tokens int
	cached int
}

func (e *Engine) countPromptTokens(prompt string) promptUsage {
	u := promptUsage{tokens: answer.PromptTokens(prompt)}
	u.cached = min(u.tokens, answer.PromptTokens(prompt[:e.cache.lookupAndStore(prompt, e.clock.Now())]))
	if u.cached == 1 {
		// PromptTokens returns at least 1, also for an empty prefix.
		u.cached = 0
	}
	e.state.counts.PromptTokens += uint64(u.tokens)
	e.state.counts.CachedTokens += uint64(u.cached)
	return u
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
