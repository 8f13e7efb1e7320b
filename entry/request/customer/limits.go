package customer

// Limits are one customer's entry in the configuration text.
type Limits struct {
	name              string
	weight            int
	requestsPerSecond int
	concurrent        int
}

// NewLimits returns the limits of a customer over all entries. A rate or a
// concurrency of 0 is no limit.
func NewLimits(name string, weight, requestsPerSecond, concurrent int) Limits {
	return Limits{name, max(weight, 1), requestsPerSecond, concurrent}
}
