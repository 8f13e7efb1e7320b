package admission

// Limits are the parts of the configuration that bound one upstream.
type Limits struct {
	cold           int
	warm           int
	bytesPerToken  int64
	budgetBytes    int64
	withoutReports bool
}

// NewLimits returns limits in requests and bytes. A budget of 0 bytes means
// that memory is not limited, as for a plain service.
func NewLimits(cold, warm int, bytesPerToken, budgetBytes int64) Limits {
	cold = max(cold, 1)
	return Limits{cold: cold, warm: max(warm, cold), bytesPerToken: bytesPerToken, budgetBytes: budgetBytes}
}

// WithoutReports returns l for an upstream that sends no load reports: it is
// assumed to be reachable until it refuses a connection, and is retried later.
func (l Limits) WithoutReports() Limits {
	l.withoutReports = true
	return l
}
