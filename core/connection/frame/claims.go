package frame

//go:generate go tool msgp -unexported -tests=false -io=false -file claims.go -o claims_gen.go

// ClaimAcquire requests from the owner of a shard the right to run a keyed
// request. The request ID of the frame identifies the attempt.
type ClaimAcquire struct {
	key         []byte
	body        uint64
	upstream    string
	incarnation uint64
	remainingMs int64
}

// NewClaimAcquire returns a ClaimAcquire with the given fields.
func NewClaimAcquire(key []byte, requestHash uint64, upstream string, incarnation uint64, remainingMs int64) *ClaimAcquire {
	return &ClaimAcquire{key, requestHash, upstream, incarnation, remainingMs}
}

// Key returns the hash of the customer and the idempotency key.
func (c *ClaimAcquire) Key() []byte { return c.key }

// Body returns the hash of the request.
func (c *ClaimAcquire) Body() uint64 { return c.body }

// Upstream returns the upstream chosen for the request.
func (c *ClaimAcquire) Upstream() string { return c.upstream }

// Incarnation returns the incarnation of the upstream's agent.
func (c *ClaimAcquire) Incarnation() uint64 { return c.incarnation }

// RemainingMs returns the time until the caller's deadline in milliseconds.
func (c *ClaimAcquire) RemainingMs() int64 { return c.remainingMs }

// ClaimReply replies to ClaimAcquire and ClaimWithdraw with a grant, a stored
// response or a refusal.
type ClaimReply struct {
	key          []byte
	grant        string // empty unless the reply is a grant
	upstream     string
	incarnation  uint64
	status       int // 0 unless the reply is a stored response
	header       []Field
	body         []byte
	code         string // empty unless the reply is a refusal
	notRun       bool
	retryAfterMs int64
}

// NewClaimGrant returns a ClaimReply that permits running the request.
func NewClaimGrant(key []byte, grant, upstream string, incarnation uint64) *ClaimReply {
	return &ClaimReply{key: key, grant: grant, upstream: upstream, incarnation: incarnation}
}

// NewClaimResponse returns a ClaimReply with a stored response.
func NewClaimResponse(key []byte, status int, header []Field, body []byte) *ClaimReply {
	return &ClaimReply{key: key, status: status, header: header, body: body}
}

// NewClaimRefusal returns a ClaimReply that refuses the request.
func NewClaimRefusal(key []byte, code string, notRun bool, retryAfterMs int64) *ClaimReply {
	return &ClaimReply{key: key, code: code, notRun: notRun, retryAfterMs: retryAfterMs}
}

// Key returns the key of the request that this replies to.
func (c *ClaimReply) Key() []byte { return c.key }

// Grant returns the grant in text form, empty for none.
func (c *ClaimReply) Grant() string { return c.grant }

// Upstream returns the upstream that a grant is bound to.
func (c *ClaimReply) Upstream() string { return c.upstream }

// Incarnation returns the incarnation of the upstream's agent.
func (c *ClaimReply) Incarnation() uint64 { return c.incarnation }

// Status returns the HTTP status of a stored response, 0 for none.
func (c *ClaimReply) Status() int { return c.status }

// Header returns the header lines of a stored response.
func (c *ClaimReply) Header() []Field { return c.header }

// Body returns the body of a stored response.
func (c *ClaimReply) Body() []byte { return c.body }

// Code returns the reason of a refusal, empty for none.
func (c *ClaimReply) Code() string { return c.code }

// NotRun reports whether the refused request cannot have run.
func (c *ClaimReply) NotRun() bool { return c.notRun }

// RetryAfterMs returns the suggested wait after a refusal in milliseconds.
func (c *ClaimReply) RetryAfterMs() int64 { return c.retryAfterMs }

// ClaimReport reports the outcome of a granted request to the owner of a shard.
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

// Grant returns the grant in text form.
func (c *ClaimReport) Grant() string { return c.grant }

// State returns "notRun", "done" or "unknown".
func (c *ClaimReport) State() string { return c.state }

// Status returns the HTTP status of the response.
func (c *ClaimReport) Status() int { return c.status }

// Header returns the header lines of the response.
func (c *ClaimReport) Header() []Field { return c.header }

// Body returns the body of the response.
func (c *ClaimReport) Body() []byte { return c.body }

// ClaimWithdraw requests from the owner of a shard the refusal of an attempt that
// is not retried.
type ClaimWithdraw struct {
	key          []byte
	grant        string // empty if the attempt has none
	code         string
	retryAfterMs int64
}

// NewClaimWithdraw returns a ClaimWithdraw with the given fields.
func NewClaimWithdraw(key []byte, grant, code string, retryAfterMs int64) *ClaimWithdraw {
	return &ClaimWithdraw{key, grant, code, retryAfterMs}
}

// Key returns the claimed key.
func (c *ClaimWithdraw) Key() []byte { return c.key }

// Grant returns the grant of the attempt in text form, empty for none.
func (c *ClaimWithdraw) Grant() string { return c.grant }

// Code returns the reason of the refusal.
func (c *ClaimWithdraw) Code() string { return c.code }

// RetryAfterMs returns the suggested wait in milliseconds.
func (c *ClaimWithdraw) RetryAfterMs() int64 { return c.retryAfterMs }

func (*ClaimAcquire) frameKind() byte  { return kindClaimAcquire }
func (*ClaimReply) frameKind() byte    { return kindClaimReply }
func (*ClaimReport) frameKind() byte   { return kindClaimReport }
func (*ClaimWithdraw) frameKind() byte { return kindClaimWithdraw }
