// Package fake is an in-memory platform for tests of packages that use
// platform.Client.
package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestshore/core/connection/platform"
)

// Platform serves the calls of a platform.Client.
type Platform struct {
	mu              sync.Mutex
	version         uint64
	objects         map[string]object // by "kind/name"
	instances       []platform.Instance
	changed         chan struct{}
	address         string
	down            bool
	responsesToDrop int
	// lostChanges holds the kinds of which the next watch that has changes to return gets no
	// response.
	lostChanges map[string]bool
}

type object struct {
	version uint64
	value   []byte
	deleted bool
}

type item struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

type listing struct {
	Items   []item `json:"items"`
	Version uint64 `json:"version"`
}

// New returns an empty platform and a client of it.
func New(t testing.TB) (*Platform, *platform.Client) {
	t.Helper()
	p := &Platform{objects: map[string]object{}, lostChanges: map[string]bool{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	mux.HandleFunc("GET /objects/{kind}", p.list)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.remove)
	mux.HandleFunc("GET /watch/{kind}", p.watch)
	mux.HandleFunc("GET /instances", p.listInstances)
	server := httptest.NewServer(p.withOutage(mux))
	t.Cleanup(server.Close)
	p.address = server.URL
	return p, platform.New(server.URL)
}

// Address returns the URL of the platform.
func (p *Platform) Address() string { return p.address }

// SetDown makes the platform refuse every call with status 503, or serve calls
// again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// DropWriteResponses makes the platform close the connection of each of the next n
// writes after it took effect, without a response.
func (p *Platform) DropWriteResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesToDrop = n
}

// LoseNextChange makes the response to the next watch of a kind that has changes to return get
// lost: its connection returns nothing further.
func (p *Platform) LoseNextChange(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostChanges[kind] = true
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list ...platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Set writes an object without a condition and returns its version.
func (p *Platform) Set(kind, name, value string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.write(kind+"/"+name, object{value: []byte(value)})
}

// Value returns an object's value, empty when there is none.
func (p *Platform) Value(kind, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.objects[kind+"/"+name].value)
}

func (p *Platform) write(key string, o object) uint64 {
	p.version++
	o.version = p.version
	p.objects[key] = o
	p.notifyWatchers()
	return p.version
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) withOutage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.existing(objectKey(r))
	if o.version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setETag(w, o.version)
	_, _ = w.Write(o.value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, _ := io.ReadAll(r.Body)
	p.applyWrite(w, r, object{value: value})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.applyWrite(w, r, object{deleted: true})
}

func (p *Platform) applyWrite(w http.ResponseWriter, r *http.Request, o object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.existing(objectKey(r))
	ifMatch := strings.Trim(r.Header.Get("If-Match"), `"`)
	conflict := ifMatch != "" && ifMatch != strconv.FormatUint(current.version, 10)
	if conflict || (r.Header.Get("If-None-Match") == "*" && current.version != 0) {
		setETag(w, current.version)
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if o.deleted && current.version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	version := p.write(objectKey(r), o)
	if p.responsesToDrop > 0 {
		p.responsesToDrop--
		panic(http.ErrAbortHandler)
	}
	setETag(w, version)
}

func objectKey(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

// existing returns an object that is not deleted, or an empty one.
func (p *Platform) existing(key string) object {
	if o := p.objects[key]; !o.deleted {
		return o
	}
	return object{}
}

func setETag(w http.ResponseWriter, version uint64) {
	if version != 0 {
		w.Header().Set("ETag", `"`+strconv.FormatUint(version, 10)+`"`)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.filter(r.PathValue("kind"), func(name string, o object) bool {
		return !o.deleted && strings.HasPrefix(name, prefix)
	}))
}

func (p *Platform) filter(kind string, match func(string, object) bool) listing {
	found := listing{Items: []item{}, Version: p.version}
	for key, o := range p.objects {
		name, ok := strings.CutPrefix(key, kind+"/")
		if ok && match(name, o) {
			found.Items = append(found.Items, item{name, o.version, o.value, o.deleted})
		}
	}
	sort.Slice(found.Items, func(i, j int) bool { return found.Items[i].Name < found.Items[j].Name })
	return found
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeoutMs, _ := strconv.Atoi(r.URL.Query().Get("timeoutMs"))
	timer := time.NewTimer(time.Duration(timeoutMs) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		found := p.filter(r.PathValue("kind"), func(_ string, o object) bool { return o.version > after })
		changed, down := p.changed, p.down
		lost := len(found.Items) > 0 && p.lostChanges[r.PathValue("kind")]
		if lost {
			delete(p.lostChanges, r.PathValue("kind"))
		}
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case lost:
			<-r.Context().Done()
			return
		case len(found.Items) > 0:
			_ = json.NewEncoder(w).Encode(found)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(append([]platform.Instance{}, p.instances...))
}
