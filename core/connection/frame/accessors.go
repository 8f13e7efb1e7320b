package frame

// NewField returns a Field with the given fields.
func NewField(name string, value string) Field {
	return Field{name, value}
}

// Name returns the header name in canonical form.
func (f Field) Name() string { return f.name }

// Value returns the header value.
func (f Field) Value() string { return f.value }

// NewHello returns a Hello with the given fields.
func NewHello(role string, instance string, dataCentre string, incarnation uint64, nonce []byte) *Hello {
	return &Hello{role, instance, dataCentre, incarnation, nonce}
}

// Role returns the kind of program, such as "entry" or "agent".
func (h *Hello) Role() string { return h.role }

// Instance returns the name of the sending instance.
func (h *Hello) Instance() string { return h.instance }

// DataCentre returns the data centre from the sender's settings.
func (h *Hello) DataCentre() string { return h.dataCentre }

// Incarnation returns the random number drawn when the process started.
func (h *Hello) Incarnation() uint64 { return h.incarnation }

// Nonce returns the random bytes that make each proof unique.
func (h *Hello) Nonce() []byte { return h.nonce }

// NewProof returns a Proof with the given fields.
func NewProof(mac []byte) *Proof {
	return &Proof{mac}
}

// MAC returns the HMAC-SHA256 over the Hello messages of both sides.
func (p *Proof) MAC() []byte { return p.mac }

// NewOccupancy returns an Occupancy with the given fields.
func NewOccupancy(inFlight int, limit int, reservedBytes int64, budgetBytes int64) Occupancy {
	return Occupancy{inFlight, limit, reservedBytes, budgetBytes}
}

// InFlight returns the number of requests that the agent has admitted or queued
// and not completed.
func (o Occupancy) InFlight() int { return o.inFlight }

// Limit returns the current limit on requests in flight at the upstream.
func (o Occupancy) Limit() int { return o.limit }

// ReservedBytes returns the upstream memory reserved for requests in flight.
func (o Occupancy) ReservedBytes() int64 { return o.reservedBytes }

// BudgetBytes returns the upstream memory that may be reserved.
func (o Occupancy) BudgetBytes() int64 { return o.budgetBytes }

// NewCondition returns a Condition with the given fields.
func NewCondition(cold bool, draining bool, incarnation uint64, crashes uint64) Condition {
	return Condition{cold, draining, incarnation, crashes}
}

// Cold reports whether the limit is below the warm limit.
func (c Condition) Cold() bool { return c.cold }

// Draining reports whether the upstream takes no new work.
func (c Condition) Draining() bool { return c.draining }

// Incarnation returns the upstream's incarnation as last observed by the agent.
func (c Condition) Incarnation() uint64 { return c.incarnation }

// Crashes returns how many crashes of the upstream the agent has observed since
// it started.
func (c Condition) Crashes() uint64 { return c.crashes }

// NewLatency returns a Latency with the given fields.
func NewLatency(queueMs int64, firstTokenMs int64) Latency {
	return Latency{queueMs, firstTokenMs}
}

// QueueMs returns the estimated wait in milliseconds until the upstream would
// start a new request.
func (l Latency) QueueMs() int64 { return l.queueMs }

// FirstTokenMs returns the recent mean time to first token in milliseconds.
func (l Latency) FirstTokenMs() int64 { return l.firstTokenMs }

// NewLoad returns a Load with the given fields.
func NewLoad(service string, occupancy Occupancy, condition Condition, latency Latency) Load {
	return Load{service, occupancy, condition, latency}
}

// Service returns the service of the upstream.
func (l Load) Service() string { return l.service }

// Occupancy returns how much of the upstream is in use.
func (l Load) Occupancy() Occupancy { return l.occupancy }

// Condition returns the state of the upstream.
func (l Load) Condition() Condition { return l.condition }

// Latency returns the response latency of the upstream.
func (l Load) Latency() Latency { return l.latency }

// NewHeartbeat returns a Heartbeat with the given fields.
func NewHeartbeat(configVersion uint64, load Load) *Heartbeat {
	return &Heartbeat{configVersion, load}
}

// ConfigVersion returns the configuration version that the sender has applied.
func (h *Heartbeat) ConfigVersion() uint64 { return h.configVersion }

// Load returns the upstream's load. It is zero unless the sender is an agent.
func (h *Heartbeat) Load() Load { return h.load }

// NewCall returns a Call with the given fields.
func NewCall(method string, path string, header []Field, body []byte) Call {
	return Call{method, path, header, body}
}

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path with its query.
func (c Call) Path() string { return c.path }

// Header returns the header lines to forward.
func (c Call) Header() []Field { return c.header }

// Body returns the complete request body.
func (c Call) Body() []byte { return c.body }

// NewRequestOptions returns a RequestOptions with the given fields.
func NewRequestOptions(deadlineMs int64, priority int, idempotent bool, stream bool, claimKey string) RequestOptions {
	return RequestOptions{deadlineMs: deadlineMs, priority: priority, idempotent: idempotent, stream: stream, claimKey: claimKey}
}

// DeadlineMs returns the milliseconds until the deadline, counted from when the
// frame was sent.
func (o RequestOptions) DeadlineMs() int64 { return o.deadlineMs }

// Priority returns the customer's priority. Higher priorities are served first.
func (o RequestOptions) Priority() int { return o.priority }

// Idempotent reports whether the request may run more than once.
func (o RequestOptions) Idempotent() bool { return o.idempotent }

// Stream reports whether the caller requested server-sent events.
func (o RequestOptions) Stream() bool { return o.stream }

// ClaimKey returns the text form of the grant under which the request runs, empty
// for a request without an idempotency key.
func (o RequestOptions) ClaimKey() string { return o.claimKey }

// WithSuspect returns the options of a request that was running on an upstream
// when it crashed.
func (o RequestOptions) WithSuspect() RequestOptions {
	o.suspect = true
	return o
}

// Suspect reports whether the request was running on an upstream when it crashed.
func (o RequestOptions) Suspect() bool { return o.suspect }

// NewSize returns a Size with the given fields.
func NewSize(promptTokens int, maxTokens int) Size {
	return Size{promptTokens, maxTokens}
}

// PromptTokens returns the estimated prompt length.
func (s Size) PromptTokens() int { return s.promptTokens }

// MaxTokens returns the maximum output length.
func (s Size) MaxTokens() int { return s.maxTokens }

// NewSubmit returns a Submit with the given fields.
func NewSubmit(service string, customer string, call Call, options RequestOptions, size Size, configVersion uint64) *Submit {
	return &Submit{service, customer, call, options, size, configVersion}
}

// Service returns the requested service.
func (s *Submit) Service() string { return s.service }

// Customer returns the authenticated customer.
func (s *Submit) Customer() string { return s.customer }

// Call returns the HTTP request to run.
func (s *Submit) Call() Call { return s.call }

// RequestOptions returns the options of the request.
func (s *Submit) RequestOptions() RequestOptions { return s.options }

// Size returns the memory estimate.
func (s *Submit) Size() Size { return s.size }

// ConfigVersion returns the configuration version that the entry has applied.
func (s *Submit) ConfigVersion() uint64 { return s.configVersion }

// NewAccepted returns an Accepted with the given fields.
func NewAccepted(incarnation uint64) *Accepted {
	return &Accepted{incarnation}
}

// Incarnation returns the incarnation of the agent's process.
func (a *Accepted) Incarnation() uint64 { return a.incarnation }

// NewRefused returns a Refused with the given fields.
func NewRefused(code string, retryAfterMs int64, notRun bool) *Refused {
	return &Refused{code, retryAfterMs, notRun}
}

// Code returns the refusal code of package outcome.
func (r *Refused) Code() string { return r.code }

// RetryAfterMs returns the suggested wait in milliseconds, 0 for none.
func (r *Refused) RetryAfterMs() int64 { return r.retryAfterMs }

// NotRun reports whether the upstream cannot have started the request.
func (r *Refused) NotRun() bool { return r.notRun }

// NewResponseHead returns a ResponseHead with the given fields.
func NewResponseHead(status int, header []Field) *ResponseHead {
	return &ResponseHead{status, header}
}

// Status returns the HTTP status.
func (r *ResponseHead) Status() int { return r.status }

// Header returns the header lines of the response.
func (r *ResponseHead) Header() []Field { return r.header }

// NewData returns a Data with the given fields.
func NewData(offset int64, bytes []byte) *Data {
	return &Data{offset, bytes}
}

// Offset returns the position of the first byte in the response body.
func (d *Data) Offset() int64 { return d.offset }

// Bytes returns the body bytes.
func (d *Data) Bytes() []byte { return d.bytes }

// NewEnd returns an End with the given fields.
func NewEnd(length int64, checksum uint64, ok bool, code string) *End {
	return &End{length, checksum, ok, code}
}

// Length returns the number of body bytes.
func (e *End) Length() int64 { return e.length }

// Checksum returns the xxhash64 of the whole body.
func (e *End) Checksum() uint64 { return e.checksum }

// OK reports whether the response is complete.
func (e *End) OK() bool { return e.ok }

// Code returns the refusal code when OK is false.
func (e *End) Code() string { return e.code }

// NewCredit returns a Credit with the given fields.
func NewCredit(offset int64) *Credit {
	return &Credit{offset}
}

// Offset returns how many bytes of the response body the caller has read.
func (c *Credit) Offset() int64 { return c.offset }

// NewResume returns a Resume with the given fields.
func NewResume(offset int64) *Resume {
	return &Resume{offset}
}

// Offset returns the position of the first requested byte of the response body.
func (r *Resume) Offset() int64 { return r.offset }

// NewGone returns a Gone with the given fields.
func NewGone(incarnation uint64, ran bool) *Gone {
	return &Gone{incarnation, ran}
}

// Incarnation returns the incarnation of the agent's process.
func (g *Gone) Incarnation() uint64 { return g.incarnation }

// Ran reports whether the agent may have admitted the request earlier.
func (g *Gone) Ran() bool { return g.ran }

// NewClaimQuery returns a ClaimQuery with the given fields.
func NewClaimQuery(claimKey string) *ClaimQuery {
	return &ClaimQuery{claimKey}
}

// ClaimKey returns the text form of the grant of the request.
func (c *ClaimQuery) ClaimKey() string { return c.claimKey }

// NewClaimState returns a ClaimState with the given fields.
func NewClaimState(state string, incarnation uint64, status int, header []Field, body []byte) *ClaimState {
	return &ClaimState{state, incarnation, status, header, body}
}

// State returns "never", "notRun", "running", "done" or "unknown".
func (c *ClaimState) State() string { return c.state }

// Incarnation returns the incarnation of the agent's process.
func (c *ClaimState) Incarnation() uint64 { return c.incarnation }

// Status returns the HTTP status of a stored response, 0 for none.
func (c *ClaimState) Status() int { return c.status }

// Header returns the header lines of a stored response.
func (c *ClaimState) Header() []Field { return c.header }

// Body returns the body of a stored response.
func (c *ClaimState) Body() []byte { return c.body }

// NewSubscribe returns a Subscribe with the given fields.
func NewSubscribe(configVersion uint64, drainFlagsVersion uint64, instanceListVersion uint64) *Subscribe {
	return &Subscribe{configVersion, drainFlagsVersion, instanceListVersion}
}

// ConfigVersion returns the newest configuration version that the sender has.
func (s *Subscribe) ConfigVersion() uint64 { return s.configVersion }

// DrainFlagsVersion returns the newest version of the drain flags that the
// sender has.
func (s *Subscribe) DrainFlagsVersion() uint64 { return s.drainFlagsVersion }

// InstanceListVersion returns the newest version of the instance list that the
// sender has.
func (s *Subscribe) InstanceListVersion() uint64 { return s.instanceListVersion }

// NewVersion returns a Version with the given fields.
func NewVersion(kind string, version uint64, value []byte) *Version {
	return &Version{kind, version, value}
}

// Kind returns the kind of object, and whether the value is a delta.
func (v *Version) Kind() string { return v.kind }

// Version returns the platform's version of the object.
func (v *Version) Version() uint64 { return v.version }

// Value returns the full value or the delta.
func (v *Version) Value() []byte { return v.value }

// NewShares returns a Shares with the given fields.
func NewShares(entry string, customerShares []Share, suspects []Suspect) *Shares {
	return &Shares{entry, customerShares, suspects}
}

// Entry returns the instance name of the sending entry.
func (s *Shares) Entry() string { return s.entry }

// CustomerShares returns the usage of each customer measured at the sending entry.
func (s *Shares) CustomerShares() []Share { return s.customerShares }

// Suspects returns the unexpired suspects of the sending entry.
func (s *Shares) Suspects() []Suspect { return s.suspects }

// NewShare returns a Share with the given fields.
func NewShare(customer string, milliRequestsPerSecond int64, inFlight int) Share {
	return Share{customer, milliRequestsPerSecond, inFlight}
}

// Customer returns the customer's name.
func (s Share) Customer() string { return s.customer }

// MilliRequestsPerSecond returns the request rate in thousandths of a request
// per second.
func (s Share) MilliRequestsPerSecond() int64 { return s.milliRequestsPerSecond }

// InFlight returns the number of requests in flight.
func (s Share) InFlight() int { return s.inFlight }

// NewSuspect returns a Suspect with the given fields.
func NewSuspect(fingerprint uint64, crashes, cleared []uint64, quarantined bool, remainingMs int64) Suspect {
	return Suspect{fingerprint, crashes, cleared, quarantined, remainingMs}
}

// Fingerprint returns the hash of the customer and the request body.
func (s Suspect) Fingerprint() uint64 { return s.fingerprint }

// Crashes returns the crashes during which the request was running.
func (s Suspect) Crashes() []uint64 { return s.crashes }

// Cleared returns the crashes that no longer count against the request, because
// it has completed since.
func (s Suspect) Cleared() []uint64 { return s.cleared }

// Quarantined reports whether the request must not run.
func (s Suspect) Quarantined() bool { return s.quarantined }

// RemainingMs returns the time until the verdict expires in milliseconds.
func (s Suspect) RemainingMs() int64 { return s.remainingMs }

// WithSuspect returns a copy of the message with the suspect option set.
func (s *Submit) WithSuspect() *Submit {
	marked := *s
	marked.options = s.options.WithSuspect()
	return &marked
}

// NewCrash returns a Crash with the given fields.
func NewCrash(incarnation uint64, fingerprints []uint64) *Crash {
	return &Crash{incarnation, fingerprints}
}

// Incarnation returns a number that distinguishes the crashes of one upstream.
func (c *Crash) Incarnation() uint64 { return c.incarnation }

// Fingerprints identifies the requests that were running on the upstream.
func (c *Crash) Fingerprints() []uint64 { return c.fingerprints }
