// Package service is a stand-in for a plain service. It echoes each call and
// keeps a ledger of executions, from which callers see what ran and how often.
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

// maxBodyBytes is the limit on a request body.
const maxBodyBytes = 8 << 20

// Options are the properties of one service.
type Options struct {
	// DelayMs passes before a call is executed.
	DelayMs clock.Millis
	// ResponseDelayMs passes between the execution and the answer.
	ResponseDelayMs clock.Millis
	// CrashMarker is a text whose presence in a body stops the process after the
	// execution was recorded; empty for none.
	CrashMarker string
}

// Fault is a failure to inject. Counts apply to the next calls.
type Fault struct {
	// DropRequests reads the request and closes the connection without executing it.
	DropRequests int `json:"dropRequests"`
	// DropResponses executes the request and closes the connection.
	DropResponses int `json:"loseAnswers"`
	// DelayMs and AnswerDelayMs are added to the delays of the options.
	DelayMs         int64 `json:"delayMs"`
	ResponseDelayMs int64 `json:"answerDelayMs"`
}

// Echo is the answer to a call.
type Echo struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"bodyHash"`
	Execution uint64 `json:"execution"`
}

// Hash returns the hash under which a body stands in the ledger: xxhash64 in hexadecimal.
func Hash(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Service is the stand-in. Create it with New.
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

// ServeHTTP serves any method and path, the ledger and the stand-in's control.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Crashed ends when a call with the crash marker ran.
func (s *Service) Crashed() <-chan struct{} { return s.crashed.Done() }

// SetFault injects a failure.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// callFault is what happens to one call.
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

// serveCall executes one serveCall. Once the body was read, a caller that leaves does not
// stop the execution.
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
