package configuration

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Limits of values.
const (
	maxNameBytes   = 100
	maxCount       = 1_000_000
	maxPriority    = 1000
	maxMemoryBytes = 1 << 50
	maxDurationMs  = 24 * 60 * 60 * 1000
	maxPercent     = 100
	digestDigits   = 64
)

// locatedName is a decoded string with its byte offset, for problems that are
// found only after decoding.
type locatedName struct {
	offset int
	name   string
}

// decoder converts the syntax tree into draft values and reports invalid fields
// and values.
type decoder struct {
	report
}

// member is a field that an object may have.
type member struct {
	name     string
	required bool
	decode   func(v *hujson.Value)
}

// object decodes the fields of an object and reports unknown, duplicate and
// missing ones.
func (d *decoder) object(v *hujson.Value, members ...member) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.add(v.StartOffset, ErrValue, "must be an object")
		return
	}
	seen := make(map[string]bool, len(members))
	for i := range obj.Members {
		name := &obj.Members[i].Name
		d.field(name, &obj.Members[i].Value, members, seen)
	}
	for _, m := range members {
		if m.required && !seen[m.name] {
			d.add(v.StartOffset, ErrMissingField, "%q", m.name)
		}
	}
}

func (d *decoder) field(name, value *hujson.Value, members []member, seen map[string]bool) {
	key, _ := decodeString(name.Value)
	if seen[key] {
		d.add(name.StartOffset, ErrDuplicateField, "%q", key)
		return
	}
	seen[key] = true
	for _, m := range members {
		if m.name == key {
			m.decode(value)
			return
		}
	}
	d.add(name.StartOffset, ErrUnknownField, "%q", key)
}

// list returns a decoder that calls decode for each element of an array.
func (d *decoder) list(decode func(v *hujson.Value)) func(*hujson.Value) {
	return func(v *hujson.Value) {
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			d.add(v.StartOffset, ErrValue, "must be a list")
			return
		}
		for i := range arr.Elements {
			decode(&arr.Elements[i])
		}
	}
}

// str returns a decoder of a string.
func (d *decoder) str(to *locatedName) func(*hujson.Value) {
	return func(v *hujson.Value) {
		s, ok := decodeString(v.Value)
		if !ok {
			d.add(v.StartOffset, ErrValue, "must be a string")
			return
		}
		*to = locatedName{v.StartOffset, s}
	}
}

// decodeString returns the value of a string literal. Only strings with escapes
// go through encoding/json: doing so for all strings made parsing a
// configuration of 775 KB take a third longer.
func decodeString(v hujson.ValueTrimmed) (string, bool) {
	lit, ok := v.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		return "", false
	}
	inner := lit[1 : len(lit)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner), true
	}
	var s string
	err := json.Unmarshal(lit, &s)
	return s, err == nil
}

// decodeNumber returns the value of a number literal, or false if v is not a
// number or does not fit into a float64.
func decodeNumber(v hujson.ValueTrimmed) (float64, bool) {
	lit, ok := v.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		return 0, false
	}
	n, err := strconv.ParseFloat(string(lit), 64)
	return n, err == nil
}

// name returns a decoder of a string that is valid in a URL path, a log line and
// the name of a drain flag.
func (d *decoder) name(to *locatedName) func(*hujson.Value) {
	return func(v *hujson.Value) {
		d.str(to)(v)
		if to.name == "" || len(to.name) > maxNameBytes || strings.Trim(to.name, nameCharacters) != "" {
			d.add(v.StartOffset, ErrValue, "must be a name of 1 to %d letters, digits, '-', '_' or '.'", maxNameBytes)
		}
	}
}

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// names returns a decoder of a list of names.
func (d *decoder) names(to *[]locatedName) func(*hujson.Value) {
	return d.list(func(v *hujson.Value) {
		var p locatedName
		d.name(&p)(v)
		*to = append(*to, p)
	})
}

// number returns a decoder of a number from low to high.
func (d *decoder) number(to *float64, low, high float64) func(*hujson.Value) {
	return func(v *hujson.Value) {
		n, ok := decodeNumber(v.Value)
		if !ok || n < low || n > high {
			d.add(v.StartOffset, ErrValue, "must be a number from %g to %g", low, high)
			return
		}
		*to = n
	}
}

// integer returns a decoder of an integer from low to high.
func (d *decoder) integer(to *int64, low, high int64) func(*hujson.Value) {
	return func(v *hujson.Value) {
		var n float64
		d.number(&n, float64(low), float64(high))(v)
		if n != math.Trunc(n) {
			d.add(v.StartOffset, ErrValue, "must be an integer")
			return
		}
		*to = int64(n)
	}
}

// boolean returns a decoder of true or false.
func (d *decoder) boolean(to *bool) func(*hujson.Value) {
	return func(v *hujson.Value) {
		lit, ok := v.Value.(hujson.Literal)
		if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
			d.add(v.StartOffset, ErrValue, "must be true or false")
			return
		}
		*to = lit.Bool()
	}
}

// digests returns a decoder of a list of SHA-256 hashes in hexadecimal digits.
func (d *decoder) digests(to *[]locatedName) func(*hujson.Value) {
	return d.list(func(v *hujson.Value) {
		var p locatedName
		d.str(&p)(v)
		p.name = strings.ToLower(p.name)
		if _, err := hex.DecodeString(p.name); err != nil || len(p.name) != digestDigits {
			d.add(v.StartOffset, ErrValue, "must be a SHA-256 hash of %d hexadecimal digits", digestDigits)
			return
		}
		*to = append(*to, p)
	})
}
