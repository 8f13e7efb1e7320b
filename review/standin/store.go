package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
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

// delete removes an object if it exists.
func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[kind][name]; found {
		s.record(kind, name, nil, true)
	}
}

// record changes an object. It must be called with mu held.
func (s *store) record(kind, name string, spec json.RawMessage, deleted bool) object {
	s.revision++
	o := object{Spec: spec}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		o.Spec = s.objects[kind][name].Spec
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.history = append(s.history, change{kind, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/objects/"), "/")
	switch {
	case q.Method != http.MethodGet:
		s.write(w, q, kind, name)
	case name != "":
		s.get(w, kind, name)
	case q.URL.Query().Has("watch"):
		s.watch(w, q, kind)
	default:
		s.list(w, kind)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": revision})
}

// write creates an object with POST, and replaces or deletes one otherwise.
func (s *store) write(w http.ResponseWriter, q *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil && q.Method != http.MethodDelete {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if q.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.objects[kind][name]
	switch {
	case q.Method == http.MethodPost && found, found && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case q.Method != http.MethodPost && !found:
		reply(w, http.StatusNotFound, map[string]any{})
	default:
		reply(w, http.StatusOK, s.record(kind, name, o.Spec, q.Method == http.MethodDelete))
	}
}

// watch responds with the changes after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseInt(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-q.Context().Done():
			return
		}
	}
}
