package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items in a page of a list.
const pageItems = 500

// store is a stand-in for the platform's metadata store. It serves lists, watches and
// conditional writes of objects, and loses nothing that it has acknowledged.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// busy makes the store answer every call with 503.
	busy bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// startStore serves a store on a loopback address.
func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// set writes an object.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(kind, name, raw, false)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(kind, name, s.objects[kind][name].Spec, true)
}

// record must be called with mu held.
func (s *store) record(kind, name string, spec json.RawMessage, deleted bool) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	old, found := s.objects[kind][name]
	created := s.revision
	if found {
		created = old.Metadata.Created
	}
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if deleted {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, change{kind, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// setBusy makes the store answer every call with 503, also those that wait, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if s.isBusy() {
		respond(w, http.StatusServiceUnavailable, nil)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/objects/"), "/")
	switch {
	case q.Method == http.MethodPost || q.Method == http.MethodPut:
		s.write(w, q, kind, name)
	case q.Method != http.MethodGet:
		respond(w, http.StatusMethodNotAllowed, nil)
	case name != "":
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			respond(w, http.StatusNotFound, nil)
			return
		}
		respond(w, http.StatusOK, o)
	case q.URL.Query().Has("watch"):
		s.watch(w, q, kind)
	default:
		s.list(w, kind, q.URL.Query().Get("after"))
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
	}
}

func (s *store) write(w http.ResponseWriter, q *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	isPost := q.Method == http.MethodPost
	if isPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case isPost && found, found && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		respond(w, http.StatusConflict, old)
	case !isPost && !found:
		respond(w, http.StatusNotFound, nil)
	default:
		respond(w, http.StatusOK, s.record(kind, name, o.Spec, false))
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][name])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision})
}

// watch responds with the changes after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseInt(q.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		if s.isBusy() {
			respond(w, http.StatusServiceUnavailable, nil)
			return
		}
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-q.Context().Done():
			return
		}
	}
}
