// Package fingerprint identifies equal requests of a customer, so that a request
// that crashes upstreams is recognized when it is retried.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Fingerprint is a hash of a customer and a request body.
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
