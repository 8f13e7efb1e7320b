package frame

//go:generate go tool msgp -unexported -tests=false -io=false -file messages.go -o messages_gen.go

// Heartbeats make up most of the control traffic. Encoded as tuples, without
// field names, they take a third of the bytes.
//msgp:tuple Heartbeat Load Occupancy Condition Latency

// Field is one header line of an HTTP request or response.
type Field struct {
	name  string
	value string
}

// Hello is the first message on a connection, sent by both sides.
type Hello struct {
	role        string
	instance    string
	dataCentre  string
	incarnation uint64
	nonce       []byte
}

// Proof authenticates the sender of a Hello.
type Proof struct {
	mac []byte
}

// Occupancy is how much of an upstream is in use.
type Occupancy struct {
	inFlight      int
	limit         int
	reservedBytes int64
	budgetBytes   int64
}

// Condition is the state of an upstream as observed by its agent.
type Condition struct {
	cold        bool
	draining    bool
	incarnation uint64
	crashes     uint64
}

// Latency is the response latency of an upstream.
type Latency struct {
	queueMs      int64
	firstTokenMs int64
}

// Load is an agent's load report for its upstream.
type Load struct {
	service   string
	occupancy Occupancy
	condition Condition
	latency   Latency
}

// Heartbeat shows that the connection is alive. It carries the sender's
// configuration version and, if the sender is an agent, the load of its upstream.
type Heartbeat struct {
	configVersion uint64
	load          Load
}

// Call is the HTTP request that an agent sends to its upstream.
type Call struct {
	method string
	path   string
	header []Field
	body   []byte
}

// RequestOptions controls how an agent runs a request.
type RequestOptions struct {
	deadlineMs int64
	priority   int
	idempotent bool
	stream     bool
	claimKey   string
	suspect    bool
}

// Size estimates the upstream memory that a request needs, in tokens.
type Size struct {
	promptTokens int
	maxTokens    int
}

// Submit requests that an agent run an HTTP request.
type Submit struct {
	service       string
	customer      string
	call          Call
	options       RequestOptions `msg:"terms"`
	size          Size
	configVersion uint64
}

// Accepted reports that the agent has admitted the request.
type Accepted struct {
	incarnation uint64
}

// Refused reports that the agent did not admit the request.
type Refused struct {
	code         string
	retryAfterMs int64
	notRun       bool
}

// ResponseHead is the status and header of the response.
type ResponseHead struct {
	status int
	header []Field
}

// Data is a part of the response body at an offset in bytes.
type Data struct {
	offset int64
	bytes  []byte
}

// End ends a response. The checksum is the xxhash64 of the whole body.
type End struct {
	length   int64
	checksum uint64
	ok       bool
	code     string
}

// Credit acknowledges the bytes of the response body that the caller has read.
type Credit struct {
	offset int64
}

// Resume requests the rest of a response from an offset in bytes.
type Resume struct {
	offset int64
}

// Gone replies to Resume. It reports that the agent does not have the request ID
// and will refuse it if it arrives later.
type Gone struct {
	incarnation uint64
	ran         bool
}

// ClaimQuery requests the execution state of a keyed request from the agent. An
// agent that has not received the request refuses it from then on.
type ClaimQuery struct {
	claimKey string
}

// ClaimState replies to ClaimQuery.
type ClaimState struct {
	state       string
	incarnation uint64
	status      int
	header      []Field
	body        []byte
}

// Subscribe states which versions the sender has. A subscriber sends it to
// request newer versions from a relay; a relay sends it as a digest from which
// its subscribers detect a missed update.
type Subscribe struct {
	configVersion       uint64
	drainFlagsVersion   uint64 `msg:"outVersion"`
	instanceListVersion uint64 `msg:"listVersion"`
}

// Version carries a new version of an object, as the full value or as a
// delta to the previous version.
type Version struct {
	kind    string
	version uint64
	value   []byte
}

// Shares reports to the other entries how much each customer uses the sending
// entry, and its suspects.
type Shares struct {
	entry          string
	customerShares []Share `msg:"customers"`
	suspects       []Suspect
}

// Share is the usage of one customer at one entry.
type Share struct {
	customer               string
	milliRequestsPerSecond int64 `msg:"perMille"`
	inFlight               int   `msg:"held"`
}

// Suspect is the verdict of an entry on a request that was running on upstreams
// when they crashed. A crash is identified by a hash that is the same at all
// entries.
type Suspect struct {
	fingerprint uint64
	crashes     []uint64
	cleared     []uint64
	quarantined bool
	remainingMs int64
}

// Crash reports to every connected entry that the agent's upstream crashed and
// which requests were running on it.
type Crash struct {
	incarnation  uint64
	fingerprints []uint64
}
