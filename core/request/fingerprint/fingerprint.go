// Package fingerprint identifies equal requests of one customer, so that a
// request that crashes upstreams is recognised when it is sent again.
package fingerprint

import "github.com/cespare/xxhash/v2"

// Fingerprint is a hash of a customer and a request body.
type Fingerprint uint64

// Of returns the fingerprint of a customer's request body.
func Of(customer string, body []byte) Fingerprint {
	d := xxhash.New()
	// A Digest never returns an error from its writers.
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
