package customer

// requestOverheadTokens is what a request costs beside its tokens: it takes a slot of a
// batch however short it is, so a flood of tiny requests must not count as free.
const requestOverheadTokens = 256

// Cost returns the work of a request in tokens. A generated token occupies the
// upstream about as long as four prompt tokens, which are processed in parallel.
func Cost(promptTokens, maxTokens int) int64 {
	return requestOverheadTokens + int64(promptTokens) + 4*int64(maxTokens)
}
