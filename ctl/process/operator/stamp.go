package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// stampMark begins the comment that goldcrestctl appends to a text. At the
	// end it moves no line, so that positions of faults stay the operator's.
	stampMark = "\n// goldcrestctl writes: "
	// idBytes is the size of a write's random id.
	idBytes = 8
	// idsKept is the number of writes that a stamp remembers. An operator whose
	// answer was lost learns that the write was overwritten, unless more than
	// this number of writes followed before the read back.
	idsKept = 16
)

// stamp is the ids of the last writes, the latest first.
type stamp []string

// newID returns the id of one write.
func newID() (string, error) {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return "", errors.Wrap(err, "draw write id")
	}
	return hex.EncodeToString(id), nil
}

// split separates an object's value into the operators' text and the stamp.
func split(value []byte) ([]byte, stamp) {
	at := bytes.LastIndex(value, []byte(stampMark))
	if at < 0 {
		return value, nil
	}
	line := string(value[at+len(stampMark):])
	ids := strings.TrimSuffix(line, "\n")
	if strings.Contains(ids, "\n") {
		return value, nil // the comment is not at the end: an operator's own
	}
	return value[:at], strings.Fields(ids)
}

// joined returns the value for a text after a further write.
func (s stamp) joined(raw []byte, id string) []byte {
	ids := append(stamp{id}, s...)
	ids = ids[:min(len(ids), idsKept)]
	return []byte(string(raw) + stampMark + strings.Join(ids, " ") + "\n")
}

// has tells whether a write is among those remembered.
func (s stamp) has(id string) bool { return slices.Contains(s, id) }

// last tells whether a write is the latest one.
func (s stamp) last(id string) bool { return len(s) > 0 && s[0] == id }
