package customer

// Limits holds the configured limits of one customer.
type Limits struct {
	name              string
	weight            int
	requestsPerSecond int
	concurrent        int
}

// NewLimits returns the limits of a customer, which apply to all entries
// together. A rate or concurrency of 0 means no limit.
func NewLimits(name string, weight, requestsPerSecond, concurrent int) Limits {
	return Limits{name, max(weight, 1), requestsPerSecond, concurrent}
}
