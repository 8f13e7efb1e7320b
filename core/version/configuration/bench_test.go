package configuration

import (
	"bytes"
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
)

// BenchmarkParse parses a configuration of 5,500 customers, near the size limit.
func BenchmarkParse(b *testing.B) {
	var raw bytes.Buffer
	raw.WriteString(`{"dataCentres":[],"services":[],"customers":[` + "\n")
	for i := range 5500 {
		fmt.Fprintf(&raw, `{"name":"customer-%05d","weight":1,"requestsPerSecond":5,"keyHashes":["%064x"]},`+"\n", i, i)
	}
	raw.WriteString("]}")
	b.ReportAllocs()
	for b.Loop() {
		_, err := Parse(raw.Bytes())
		check.NoError(b, "parse", err)
	}
	b.ReportMetric(float64(raw.Len()), "bytes")
}

// BenchmarkCustomer looks up the key of a caller.
func BenchmarkCustomer(b *testing.B) {
	config := parseExample(b)
	for b.Loop() {
		config.Customer("key-of-workshop")
	}
}
