package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// defaultWatchTimeout and maxWatchTimeout limit the duration of a long poll.
const (
	defaultWatchTimeout = 30 * clock.Second
	maxWatchTimeout     = 5 * clock.Minute
)

// Fault describes the failures to inject.
type Fault struct {
	// Down refuses every call of the object API and of the instance list.
	Down bool `json:"down"`
	// SlowMs delays every call.
	SlowMs int64 `json:"slowMs"`
	// DropResponses is the number of writes whose connection is closed without a
	// response after the write took effect.
	DropResponses int `json:"loseAnswers"`
	// ListLagMs is the age of the instance list that readers receive.
	ListLagMs int64 `json:"listLagMs"`
}

// Calls counts the calls that reached the platform. A watch counts as one call.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Platform is the stand-in. Create it with New.
type Platform struct {
	store  *store
	roster *roster
	mux    *http.ServeMux

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{}
	calls        Calls
}

// New returns an empty platform.
func New(c *clock.Clock) *Platform {
	p := &Platform{store: newStore(), roster: newRoster(c), mux: http.NewServeMux(), faultChanged: make(chan struct{})}
	p.route("GET /objects/{kind}/{name}", &p.calls.Reads, p.get)
	p.route("GET /objects/{kind}", &p.calls.Reads, p.list)
	p.route("PUT /objects/{kind}/{name}", &p.calls.Writes, p.put)
	p.route("DELETE /objects/{kind}/{name}", &p.calls.Writes, p.remove)
	p.route("GET /watch/{kind}", &p.calls.Watches, p.watch)
	p.route("GET /instances", &p.calls.Reads, p.instances)
	p.route("PUT /instances/{name}", &p.calls.Writes, p.register)
	p.route("DELETE /instances/{name}", &p.calls.Writes, p.unregister)
	p.mux.HandleFunc("PUT /fault", p.putFault)
	p.mux.HandleFunc("GET /calls", p.getCalls)
	return p
}

// ServeHTTP serves the object API, the instance list and the stand-in's control endpoints.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFault replaces the injected fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// currentFault returns the active fault and a channel that is closed when it changes.
func (p *Platform) currentFault() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

// Calls returns the number of calls received so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// route registers a handler that counts its calls and applies the injected fault.
func (p *Platform) route(pattern string, count *uint64, serve http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fault := p.recordCall(count)
		if !sleep(r.Context(), clock.Millis(fault.SlowMs)) {
			return
		}
		if fault.Down {
			writeUnavailable(w)
			return
		}
		serve(w, r)
	})
}

func (p *Platform) recordCall(count *uint64) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	*count++
	return p.fault
}

// consumeResponseDrop reports whether to drop the response to a write that took
// effect, and counts down the responses to drop.
func (p *Platform) consumeResponseDrop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.DropResponses == 0 {
		return false
	}
	p.fault.DropResponses--
	return true
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.store.get(r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writeError(w, o, err)
		return
	}
	setETag(w, o)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.value)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.store.list(r.PathValue("kind"), r.URL.Query().Get("prefix")))
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	o, err := p.store.put(r.PathValue("kind"), r.PathValue("name"), cond, value)
	p.respondToWrite(w, o, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := p.store.remove(r.PathValue("kind"), r.PathValue("name"), cond)
	p.respondToWrite(w, o, err)
}

// respondToWrite sends the response to a write, or aborts the connection when
// the response is to be dropped.
func (p *Platform) respondToWrite(w http.ResponseWriter, o object, err error) {
	if err != nil {
		writeError(w, o, err)
		return
	}
	if p.consumeResponseDrop() {
		panic(http.ErrAbortHandler)
	}
	setETag(w, o)
	w.WriteHeader(http.StatusNoContent)
}

// watch responds as soon as the kind has changes after the given version.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	limit := clock.Millis(parseInt(query.Get("timeoutMs"), int64(defaultWatchTimeout)))
	ctx, cancel := context.WithTimeout(r.Context(), min(limit, maxWatchTimeout).Duration())
	defer cancel()
	for {
		fault, faultChanged := p.currentFault()
		if fault.Down {
			writeUnavailable(w)
			return
		}
		page, changed := p.store.after(r.PathValue("kind"), after)
		if len(page.Items) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-faultChanged:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	fault, _ := p.currentFault()
	writeJSON(w, p.roster.list(clock.Millis(fault.ListLagMs)))
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var state Instance
	if err := json.NewDecoder(r.Body).Decode(&state); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state.Name = r.PathValue("name")
	p.roster.set(state.Name, &state)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) unregister(w http.ResponseWriter, r *http.Request) {
	p.roster.set(r.PathValue("name"), nil)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) }

// parseCondition parses the If-Match and If-None-Match headers.
func parseCondition(h http.Header) (condition, error) {
	if h.Get("If-None-Match") == "*" {
		return condition{create: true}, nil
	}
	match := h.Get("If-Match")
	if match == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return condition{}, errors.Wrap(err, "If-Match")
	}
	return condition{match: true, version: version}, nil
}

// setETag sets the ETag of a live object.
func setETag(w http.ResponseWriter, o object) {
	if o.version != 0 {
		w.Header().Set("ETag", `"`+strconv.FormatUint(o.version, 10)+`"`)
	}
}

func writeUnavailable(w http.ResponseWriter) {
	http.Error(w, "the platform is down", http.StatusServiceUnavailable)
}

func writeError(w http.ResponseWriter, o object, err error) {
	setETag(w, o)
	http.Error(w, err.Error(), statusCode(err))
}

func statusCode(err error) int {
	switch {
	case errors.Is(err, errNotFound):
		return http.StatusNotFound
	case errors.Is(err, errConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, errTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusInternalServerError
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func parseInt(text string, fallback int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// sleep waits for d and reports whether it elapsed before ctx was canceled.
func sleep(ctx context.Context, d clock.Millis) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
