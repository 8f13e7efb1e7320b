package customer

// requestOverheadTokens is the fixed cost of a request, in tokens. Even the
// shortest request occupies a batch slot, so a flood of tiny requests must not be
// nearly free.
const requestOverheadTokens = 256

// Cost returns the cost of a request in prompt-token equivalents. A generated
// token occupies the upstream about as long as four prompt tokens, because prompt
// tokens are processed in parallel.
func Cost(promptTokens, maxTokens int) int64 {
	return requestOverheadTokens + int64(promptTokens) + 4*int64(maxTokens)
}
