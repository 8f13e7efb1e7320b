package relay

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a delta that produces another value than it was made from.
func TestDelta(t *testing.T) {
	rows := []struct{ name, old, next string }{
		{"equal", "abc", "abc"},
		{"empty", "", ""},
		{"first", "", "abc"},
		{"removed", "abc", ""},
		{"in the middle", "abcdef", "abXdef"},
		{"repeated letters", "aaaa", "aaa"},
		{"more repeated letters", "aaa", "aaaaa"},
		{"nothing in common", "abc", "xyz"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			assertRoundTrip(t, versionedValue{version: 1, value: []byte(row.old)}, versionedValue{version: 2, value: []byte(row.next)})
		})
	}
}

func assertRoundTrip(t *testing.T, old, next versionedValue) {
	t.Helper()
	d, err := parseDelta(next.version, newDelta(old, next).encode())
	check.NoError(t, "parse", err)
	got, err := d.apply(old)
	check.NoError(t, "apply", err)
	check.Equal(t, "value", string(got.value), string(next.value))
	check.Equal(t, "version", got.version, next.version)
}

// Guards against rare combinations of prefix and suffix that the table in TestDelta
// does not cover.
func TestRandomDeltas(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	letters := func() []byte {
		b := make([]byte, random.IntN(12))
		for i := range b {
			b[i] = byte('a' + random.IntN(2))
		}
		return b
	}
	for range 5000 {
		assertRoundTrip(t, versionedValue{version: 1, value: letters()}, versionedValue{version: 2, value: letters()})
	}
}

// Guards against a delta applied to another value than it was made for, and
// against a forged delta that reaches outside the held value.
func TestMismatchedDelta(t *testing.T) {
	d := newDelta(versionedValue{version: 1, value: []byte("abc")}, versionedValue{version: 2, value: []byte("abd")})
	_, err := d.apply(versionedValue{version: 3, value: []byte("abc")})
	check.Is(t, "other version", err, errDelta)
	_, err = d.apply(versionedValue{version: 1, value: []byte("axc")})
	check.Is(t, "other value", err, errDelta)
	for _, forged := range []delta{{prefix: 4}, {suffix: 4}, {prefix: 2, suffix: 2}, {prefix: -1}, {suffix: -1}, {prefix: 1 << 62, suffix: 1 << 62}} {
		_, err = forged.apply(versionedValue{version: 0, value: []byte("abc")})
		check.Is(t, "forged", err, errDelta)
	}
	_, err = parseDelta(1, []byte("x"))
	check.Is(t, "malformed", err, errDelta)
}

// Guards against a history that grows without bound or has gaps.
func TestHistory(t *testing.T) {
	var h history
	old := versionedValue{version: 0, value: nil}
	for version := uint64(1); version <= 100; version++ {
		next := versionedValue{version: version, value: bytes.Repeat([]byte{byte(version)}, 10<<10)}
		h = h.extend(newDelta(old, next))
		old = next
	}
	check.Equal(t, "deltas kept", len(h), maxHistoryBytes/(10<<10))
	_, ok := h.since(1)
	check.Equal(t, "reaches version 1", ok, false)
	chain, ok := h.since(98)
	check.Equal(t, "reaches version 98", ok, true)
	check.Equal(t, "deltas from version 98", len(chain), 2)
	_, ok = h.since(100)
	check.Equal(t, "deltas from the last version", ok, false)
}
