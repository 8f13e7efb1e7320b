package admission

// marginPercent of the budget stays unreserved: token counts are estimates made
// by the entry, and an upstream that exceeds its memory crashes and loses all
// its requests.
const marginPercent = 5

// memory tracks the reservations of the upstream's memory.
type memory struct {
	bytesPerToken int64
	budgetBytes   int64
	tokens        int64
}

func (m *memory) configure(l Limits) {
	m.bytesPerToken = l.bytesPerToken
	m.budgetBytes = l.budgetBytes
}

func (m *memory) usableBytes() int64 { return m.budgetBytes - m.budgetBytes*marginPercent/100 }

func (m *memory) reservedBytes() int64 { return m.tokens * m.bytesPerToken }

func (m *memory) unlimited() bool { return m.budgetBytes <= 0 || m.bytesPerToken <= 0 }

// fits reports whether that many more tokens can be reserved. It divides
// instead of multiplying, so that a forged size cannot overflow.
func (m *memory) fits(tokens int64) bool {
	return m.unlimited() || tokens <= m.usableBytes()/m.bytesPerToken-m.tokens
}

// fitsEmpty reports whether tokens fit when nothing is reserved.
func (m *memory) fitsEmpty(tokens int64) bool {
	return m.unlimited() || tokens <= m.usableBytes()/m.bytesPerToken
}

func (m *memory) reserve(tokens int64) { m.tokens += tokens }

func (m *memory) release(tokens int64) { m.tokens -= tokens }
