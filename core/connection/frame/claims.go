package frame

//go:generate go tool msgp -unexported -tests=false -io=false -file claims.go -o claims_gen.go

// ClaimAcquire asks the owner of a shard for a claim. The request id of the frame
// identifies the sending.
type ClaimAcquire struct {
	key         []byte
	body        uint64
	upstream    string
	incarnation uint64
	remainingMs int64
}

// NewClaimAcquire returns a ClaimAsk with the given fields.
func NewClaimAcquire(key []byte, requestHash uint64, upstream string, incarnation uint64, remainingMs int64) *ClaimAcquire {
	return &ClaimAcquire{key, requestHash, upstream, incarnation, remainingMs}
}

// Key returns the hash of customer and idempotency key.
func (c *ClaimAcquire) Key() []byte { return c.key }

// Body returns the hash of the request.
func (c *ClaimAcquire) Body() uint64 { return c.body }

// Upstream returns the chosen upstream.
func (c *ClaimAcquire) Upstream() string { return c.upstream }

// Incarnation returns the incarnation of the upstream's agent.
func (c *ClaimAcquire) Incarnation() uint64 { return c.incarnation }

// RemainingMs returns the time until the caller's deadline.
func (c *ClaimAcquire) RemainingMs() int64 { return c.remainingMs }

// ClaimReply answers ClaimAsk and ClaimWithdraw with a grant, with a stored
// answer or with a refusal.
type ClaimReply struct {
	key          []byte
	grant        string // not empty for a grant
	upstream     string
	incarnation  uint64
	status       int // not 0 for a stored answer
	header       []Field
	body         []byte
	code         string // not empty for a refusal
	notRun       bool
	retryAfterMs int64
}

// NewClaimGrant returns a ClaimReply that grants a claim.
func NewClaimGrant(key []byte, grant, upstream string, incarnation uint64) *ClaimReply {
	return &ClaimReply{key: key, grant: grant, upstream: upstream, incarnation: incarnation}
}

// NewClaimResponse returns a ClaimReply with a stored answer.
func NewClaimResponse(key []byte, status int, header []Field, body []byte) *ClaimReply {
	return &ClaimReply{key: key, status: status, header: header, body: body}
}

// NewClaimRefusal returns a ClaimReply that refuses.
func NewClaimRefusal(key []byte, code string, notRun bool, retryAfterMs int64) *ClaimReply {
	return &ClaimReply{key: key, code: code, notRun: notRun, retryAfterMs: retryAfterMs}
}

// Key returns the key asked for.
func (c *ClaimReply) Key() []byte { return c.key }

// Grant returns the claim in text form, empty for none.
func (c *ClaimReply) Grant() string { return c.grant }

// Upstream returns the upstream that a grant is bound to.
func (c *ClaimReply) Upstream() string { return c.upstream }

// Incarnation returns the incarnation of the upstream's agent.
func (c *ClaimReply) Incarnation() uint64 { return c.incarnation }

// Status returns the HTTP status of a stored answer, 0 for none.
func (c *ClaimReply) Status() int { return c.status }

// Header returns the header lines of a stored answer.
func (c *ClaimReply) Header() []Field { return c.header }

// Body returns the body of a stored answer.
func (c *ClaimReply) Body() []byte { return c.body }

// Code returns the reason of a refusal, empty for none.
func (c *ClaimReply) Code() string { return c.code }

// NotRun tells whether a refused key cannot have run.
func (c *ClaimReply) NotRun() bool { return c.notRun }

// RetryAfterMs returns the suggested wait after a refusal.
func (c *ClaimReply) RetryAfterMs() int64 { return c.retryAfterMs }

// ClaimReport tells the owner of a shard what became of a claim.
type ClaimReport struct {
	key    []byte
	grant  string
	state  string
	status int
	header []Field
	body   []byte
}

// NewClaimReport returns a ClaimReport with the given fields.
func NewClaimReport(key []byte, grant, state string, status int, header []Field, body []byte) *ClaimReport {
	return &ClaimReport{key, grant, state, status, header, body}
}

// Key returns the claimed key.
func (c *ClaimReport) Key() []byte { return c.key }

// Grant returns the claim in text form.
func (c *ClaimReport) Grant() string { return c.grant }

// State returns "notRun", "done" or "unknown".
func (c *ClaimReport) State() string { return c.state }

// Status returns the HTTP status of the answer.
func (c *ClaimReport) Status() int { return c.status }

// Header returns the header lines of the answer.
func (c *ClaimReport) Header() []Field { return c.header }

// Body returns the body of the answer.
func (c *ClaimReport) Body() []byte { return c.body }

// ClaimWithdraw asks the owner of a shard for the refusal of a sending that is
// not tried again.
type ClaimWithdraw struct {
	key          []byte
	grant        string // empty if the sending held none
	code         string
	retryAfterMs int64
}

// NewClaimWithdraw returns a ClaimWithdraw with the given fields.
func NewClaimWithdraw(key []byte, grant, code string, retryAfterMs int64) *ClaimWithdraw {
	return &ClaimWithdraw{key, grant, code, retryAfterMs}
}

// Key returns the claimed key.
func (c *ClaimWithdraw) Key() []byte { return c.key }

// Grant returns the refused claim in text form, empty for none.
func (c *ClaimWithdraw) Grant() string { return c.grant }

// Code returns the reason of the refusal.
func (c *ClaimWithdraw) Code() string { return c.code }

// RetryAfterMs returns the suggested wait.
func (c *ClaimWithdraw) RetryAfterMs() int64 { return c.retryAfterMs }

func (*ClaimAcquire) frameKind() byte  { return kindClaimAcquire }
func (*ClaimReply) frameKind() byte    { return kindClaimReply }
func (*ClaimReport) frameKind() byte   { return kindClaimReport }
func (*ClaimWithdraw) frameKind() byte { return kindClaimWithdraw }
