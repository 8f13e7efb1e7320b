// Package recent holds values that are forgotten some time after they were last updated.
package recent

import "goldcrestshore/core/process/clock"

// Map holds values by key. Each is remembered for Age at least, and forgotten after twice that
// time: it is kept in two halves, of which the older is dropped when the newer is old enough or
// full. Exported fields must be set before use. A Map is not safe for concurrent use.
type Map[K comparable, V any] struct {
	Age clock.Millis
	// MaxEntries bounds the keys of each half, 0 for no bound.
	MaxEntries int

	newer, older map[K]V
	startedAt    clock.Millis
}

// Expire drops what is too old. It reports whether the map begins anew: it holds nothing that
// was updated before.
func (m *Map[K, V]) Expire(now clock.Millis) (anew bool) {
	isFull := m.MaxEntries > 0 && len(m.newer) >= m.MaxEntries
	switch {
	case m.newer == nil || now-m.startedAt >= 2*m.Age:
		m.older, anew = nil, true
	case now-m.startedAt >= m.Age || isFull:
		m.older = m.newer
	default:
		return false
	}
	m.newer, m.startedAt = make(map[K]V), now
	return anew
}

// Update changes the value of a key in the newer half, which may be the zero value.
func (m *Map[K, V]) Update(now clock.Millis, key K, change func(*V)) {
	m.Expire(now)
	v := m.newer[key]
	change(&v)
	m.newer[key] = v
}

// Values returns the values of a key in both halves, each with the zero value if it has none,
// and whether any has one. Callers combine them.
func (m *Map[K, V]) Values(key K) (newer, older V, found bool) {
	newer, inNewer := m.newer[key]
	older, inOlder := m.older[key]
	return newer, older, inNewer || inOlder
}

// Len returns the number of keys in both halves.
func (m *Map[K, V]) Len() int { return len(m.newer) + len(m.older) }
