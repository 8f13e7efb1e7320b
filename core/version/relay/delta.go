package relay

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
)

// errDelta reports a delta that does not lead from the value held to the next.
var errDelta = errors.New("delta does not fit the value held")

// maxHistoryBytes bounds the deltas that a process keeps for subscribers that
// are some versions behind; beyond it they get the whole value.
const maxHistoryBytes = 256 << 10

// delta leads from one version of a value to the next: the bytes between the
// common beginning and the common end are replaced. An operator's change is a
// few lines of a text of up to 900 KB; sent whole, 16,000 changes a day would
// take 170 KB/s at every node.
type delta struct {
	from, to uint64
	prefix   int
	suffix   int
	checksum uint64 // xxhash64 of the next value
	middle   []byte
}

// newDelta returns the delta between two versions of a value.
func newDelta(old, next versionedValue) delta {
	a, b := old.value, next.value
	prefix := commonPrefix(a, b)
	suffix := commonSuffix(a[prefix:], b[prefix:])
	return delta{
		from:     old.version,
		to:       next.version,
		prefix:   prefix,
		suffix:   suffix,
		checksum: xxhash.Sum64(b),
		middle:   b[prefix : len(b)-suffix],
	}
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// apply returns the next value, or errDelta.
func (d delta) apply(old versionedValue) (versionedValue, error) {
	if old.version != d.from || d.prefix < 0 || d.suffix < 0 || d.prefix > len(old.value)-d.suffix {
		return versionedValue{}, errors.Wrapf(errDelta, "from version %d, held %d", d.from, old.version)
	}
	end := len(old.value) - d.suffix
	value := bytes.Join([][]byte{old.value[:d.prefix], d.middle, old.value[end:]}, nil)
	if xxhash.Sum64(value) != d.checksum {
		return versionedValue{}, errors.Wrap(errDelta, "checksum")
	}
	return versionedValue{version: d.to, value: value}, nil
}

// encode returns the delta as the value of a Version frame, which carries its
// target version itself.
func (d delta) encode() []byte {
	b := msgp.AppendUint64(nil, d.from)
	b = msgp.AppendInt(b, d.prefix)
	b = msgp.AppendInt(b, d.suffix)
	b = msgp.AppendUint64(b, d.checksum)
	return msgp.AppendBytes(b, d.middle)
}

// parseDelta reads what encode wrote.
func parseDelta(to uint64, raw []byte) (delta, error) {
	d := delta{to: to}
	var errs [5]error
	d.from, raw, errs[0] = msgp.ReadUint64Bytes(raw)
	d.prefix, raw, errs[1] = msgp.ReadIntBytes(raw)
	d.suffix, raw, errs[2] = msgp.ReadIntBytes(raw)
	d.checksum, raw, errs[3] = msgp.ReadUint64Bytes(raw)
	d.middle, _, errs[4] = msgp.ReadBytesBytes(raw, nil)
	for _, err := range errs {
		if err != nil {
			return delta{}, errors.Wrapf(errDelta, "%v", err)
		}
	}
	return d, nil
}

// history is the deltas that lead to the value held, oldest first.
type history []delta

// extend returns the history extended by a delta and cut to its bound.
func (h history) extend(d delta) history {
	next := append(append(history(nil), h...), d)
	size := 0
	for i := len(next) - 1; i >= 0; i-- {
		size += len(next[i].middle)
		if size > maxHistoryBytes {
			return next[i+1:]
		}
	}
	return next
}

// since returns the deltas from a version on, or false when the history does
// not reach back to it.
func (h history) since(version uint64) ([]delta, bool) {
	for i := range h {
		if h[i].from == version {
			return h[i:], true
		}
	}
	return nil, false
}
