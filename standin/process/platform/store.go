// Package platform is a stand-in for the platform's object API and its delayed
// list of instances. It stores everything in memory and injects faults.
package platform

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxValueBytes is the platform's limit on one value.
const maxValueBytes = 1 << 20

// Errors of the store, which map to HTTP status codes.
var (
	errNotFound = errors.New("object does not exist")
	errConflict = errors.New("object has another version")
	errTooLarge = errors.New("value exceeds 1 MB")
)

// object is one stored value. A deleted object stays as a tombstone so that a
// watch reports its removal.
type object struct {
	version uint64
	value   []byte
	deleted bool
}

// condition is the precondition of a write.
type condition struct {
	create  bool
	match   bool
	version uint64
}

// store holds the objects of all kinds under one version counter.
type store struct {
	mu      sync.Mutex
	version uint64
	kinds   map[string]map[string]object
	changed chan struct{}
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// get returns a live object.
func (s *store) get(kind, name string) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok || o.deleted {
		return object{}, errNotFound
	}
	return o, nil
}

// put writes value under cond and returns the object now stored. On conflict
// it returns the current object with errConflict.
func (s *store) put(kind, name string, cond condition, value []byte) (object, error) {
	if len(value) > maxValueBytes {
		return object{}, errTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, err := s.checkCondition(kind, name, cond)
	if err != nil {
		return current, err
	}
	return s.write(kind, name, object{value: value}), nil
}

// remove deletes an object under cond.
func (s *store) remove(kind, name string, cond condition) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, err := s.checkCondition(kind, name, cond)
	if err != nil {
		return current, err
	}
	if current.version == 0 {
		return object{}, errNotFound
	}
	return s.write(kind, name, object{deleted: true}), nil
}

// checkCondition returns the current object, or a zero object when there is
// none, and errConflict when cond does not hold for it.
func (s *store) checkCondition(kind, name string, cond condition) (object, error) {
	current := s.kinds[kind][name]
	if current.deleted {
		current = object{}
	}
	if cond.create && current.version != 0 {
		return current, errConflict
	}
	if cond.match && current.version != cond.version {
		return current, errConflict
	}
	return current, nil
}

func (s *store) write(kind, name string, o object) object {
	s.version++
	o.version = s.version
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// list returns the live objects of a kind, sorted by name.
func (s *store) list(kind, prefix string) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectItems(kind, func(name string, o object) bool {
		return !o.deleted && strings.HasPrefix(name, prefix)
	})
}

// after returns the objects of a kind that changed after a version, deleted
// ones included, and a channel that is closed at the next change of any kind.
func (s *store) after(kind string, version uint64) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.selectItems(kind, func(_ string, o object) bool { return o.version > version })
	return p, s.changed
}

func (s *store) selectItems(kind string, keep func(string, object) bool) page {
	p := page{Items: []item{}, Version: s.version}
	for name, o := range s.kinds[kind] {
		if keep(name, o) {
			p.Items = append(p.Items, item{name, o.version, o.value, o.deleted})
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Name < p.Items[j].Name })
	return p
}

// page is the reply to a list or a watch. Values are base64 in JSON.
type page struct {
	Items   []item `json:"items"`
	Version uint64 `json:"version"`
}

type item struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}
