// Package service implements a stand-in for a plain HTTP service, for tests. It
// echoes each call and keeps a ledger of executions, with which a test checks what
// ran and how often.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/process/clock"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 8 << 20

// Options configures a service.
type Options struct {
	// DelayMs is the delay before a call is executed.
	DelayMs clock.Millis
	// ResponseDelayMs is the delay between the execution and the response.
	ResponseDelayMs clock.Millis
	// CrashMarker is a text that crashes the service if a body contains it, after the
	// execution was recorded. Empty disables the check.
	CrashMarker string
}

// Fault is a fault to inject. The counts apply to the next calls.
type Fault struct {
	// DropRequests is the number of calls whose connection is closed after the request
	// was read, without executing it.
	DropRequests int `json:"dropRequests"`
	// DropResponses is the number of calls that are executed and whose connection is
	// closed without a response.
	DropResponses int `json:"loseAnswers"`
	// DelayMs and ResponseDelayMs are added to the delays in Options.
	DelayMs         int64 `json:"delayMs"`
	ResponseDelayMs int64 `json:"answerDelayMs"`
}

// Echo is the response to a call.
type Echo struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"bodyHash"`
	Execution uint64 `json:"execution"`
}

// Hash returns the hash of a body as recorded in the ledger: xxhash64 in hexadecimal.
func Hash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Service is a stand-in for a plain HTTP service. Create it with New.
type Service struct {
	options Options
	ledger  *Ledger
	mux     *http.ServeMux
	crash   context.CancelFunc
	crashed context.Context

	mu    sync.Mutex
	fault Fault
}

// New returns a service that records its executions in ledger.
func New(o Options, ledger *Ledger) *Service {
	s := &Service{options: o, ledger: ledger, mux: http.NewServeMux()}
	s.crashed, s.crash = context.WithCancel(context.Background())
	s.mux.HandleFunc("GET /ledger", s.getLedger)
	s.mux.HandleFunc("PUT /fault", s.putFault)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP implements http.Handler. It serves the ledger and fault injection on
// their own paths and executes every other request as a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Crashed returns a channel that is closed when a call with the crash marker was executed.
func (s *Service) Crashed() <-chan struct{} { return s.crashed.Done() }

// SetFault replaces the injected fault.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// callFault is the faults and delays that apply to one call.
type callFault struct {
	dropRequest, dropResponse bool
	delay, responseDelay      clock.Millis
}

func (s *Service) takeCallFault() callFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := callFault{
		delay:         s.options.DelayMs + clock.Millis(s.fault.DelayMs),
		responseDelay: s.options.ResponseDelayMs + clock.Millis(s.fault.ResponseDelayMs),
	}
	switch {
	case s.fault.DropRequests > 0:
		s.fault.DropRequests--
		f.dropRequest = true
	case s.fault.DropResponses > 0:
		s.fault.DropResponses--
		f.dropResponse = true
	}
	return f
}

// serveCall executes one call. A client that disconnects after the body was read
// does not stop the execution.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := s.takeCallFault()
	if f.dropRequest {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.delay.Duration())
	echo := Echo{Method: r.Method, Path: r.URL.Path, BodyHash: Hash(body)}
	if echo.Execution, err = s.ledger.Record(r.Header.Get("X-Request-Id"), echo); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if marker := s.options.CrashMarker; marker != "" && strings.Contains(string(body), marker) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.responseDelay.Duration())
	if f.dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, echo)
}

func (s *Service) getLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Report{s.ledger.Executions()})
}

func (s *Service) putFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
