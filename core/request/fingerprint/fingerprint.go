// Package fingerprint identifies what requests have in common, so that a request that
// crashes upstreams is recognized when it, or one like it, comes again.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Fingerprint is a hash of a customer and a request body, or of other values that
// identify a request or a part of it.
type Fingerprint uint64

// Of returns the fingerprint of a customer's request body.
func Of(customer string, body []byte) Fingerprint {
	d := xxhash.New()
	// The write methods of a Digest never return an error.
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// OfParts returns the fingerprint of what the parts are together.
func OfParts(parts [][]byte) Fingerprint {
	d := xxhash.New()
	for _, part := range parts {
		_, _ = d.Write(part) // never returns an error
	}
	return Fingerprint(d.Sum64())
}

// OfValues returns the fingerprint of a list of values. Lists whose values are divided
// differently have different fingerprints.
func OfValues(values ...string) Fingerprint {
	d := xxhash.New()
	for _, v := range values {
		// The write methods of a Digest never return an error.
		_, _ = d.WriteString(strconv.Itoa(len(v)))
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(v)
	}
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Wrap(err, "fingerprint")
	}
	*f = Fingerprint(n)
	return nil
}
