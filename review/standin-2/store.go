package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	Kind    string `json:"-"`
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	log      []change
	changed  chan struct{}
	// silent is closed when the outage ends; nil while the store responds.
	silent chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l := listen("127.0.0.1")
	s.address = l.Addr().String()
	go http.Serve(l, s)
	return s
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// setSilent makes the store answer nothing, or answer again.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.silent == nil {
		s.silent = make(chan struct{})
		close(s.changed) // wakes the watches, which then stay silent
		s.changed = make(chan struct{})
	} else if !on && s.silent != nil {
		close(s.silent)
		s.silent = nil
	}
}

// put writes an object as another client of the store. It reports false while the store is silent.
func (s *store) put(kind, name string, spec any) bool {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	s.write(kind, name, raw, false)
	return true
}

func (s *store) delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	if _, found := s.objects[kind][name]; found {
		s.write(kind, name, nil, true)
	}
	return true
}

func (s *store) write(kind, name string, raw []byte, deleted bool) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, found := s.objects[kind][name]
	if found && !deleted && string(o.Spec) == string(raw) {
		return o
	}
	s.revision++
	if !found {
		o.Metadata.Name, o.Metadata.Created, o.Metadata.Finalizers, o.Status = name, s.revision, []string{}, json.RawMessage("null")
	}
	o.Metadata.Revision = s.revision
	if deleted {
		delete(s.objects[kind], name)
	} else {
		o.Spec = raw
		s.objects[kind][name] = o
	}
	s.log = append(s.log, change{kind, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// drop ends a call without a response.
func drop(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		c.Close()
	}
}

// waitSilent holds a call while the store is silent and reports whether it was.
func (s *store) waitSilent(w http.ResponseWriter, q *http.Request) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return false
	}
	select {
	case <-silent:
	case <-q.Context().Done():
	}
	drop(w)
	return true
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if s.waitSilent(w, q) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(q.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case q.Method == http.MethodGet && q.URL.Query().Get("watch") != "":
		s.watch(w, q, kind)
	case q.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			respond(w, 404, struct{}{})
			return
		}
		respond(w, 200, o)
	case q.Method == http.MethodGet:
		s.mu.Lock()
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		at := s.revision
		s.mu.Unlock()
		respond(w, 200, map[string]any{"items": items, "has_more": false, "as_of": at})
	case q.Method == http.MethodPost || q.Method == http.MethodPut:
		s.save(w, q, kind, name)
	default:
		respond(w, 400, struct{}{})
	}
}

func (s *store) save(w http.ResponseWriter, q *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		respond(w, 400, struct{}{})
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	known, found := s.objects[kind][name]
	switch {
	case q.Method == http.MethodPost && found, q.Method == http.MethodPut && found && o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision:
		s.mu.Unlock()
		respond(w, 409, known)
		return
	case q.Method == http.MethodPut && !found:
		s.mu.Unlock()
		respond(w, 404, struct{}{})
		return
	}
	saved := s.write(kind, name, o.Spec, false)
	s.mu.Unlock()
	respond(w, 200, saved)
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	after, _ := strconv.ParseInt(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, silent := s.changed, s.silent
		events := []change{}
		for _, c := range s.log {
			if c.Kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if silent != nil {
			s.waitSilent(w, q)
			return
		}
		if len(events) > 0 {
			respond(w, 200, map[string]any{"events": events, "as_of": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if s.waitSilent(w, q) {
				return
			}
			respond(w, 200, map[string]any{"events": []change{}, "as_of": at})
			return
		case <-q.Context().Done():
			return
		}
	}
}
