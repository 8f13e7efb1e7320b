package frame

//go:generate go tool msgp -unexported -tests=false -io=false -file messages.go -o messages_gen.go

// Heartbeats are most of the control traffic; without field names they take a
// third of the bytes.
//msgp:tuple Heartbeat Load Occupancy Condition Latency

// Field is one header line of a call or an answer.
type Field struct {
	name  string
	value string
}

// Hello opens a connection in both directions.
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

// Condition is the state of an upstream as its agent sees it.
type Condition struct {
	cold        bool
	draining    bool
	incarnation uint64
	crashes     uint64
}

// Latency is how fast an upstream answers.
type Latency struct {
	queueMs      int64
	firstTokenMs int64
}

// Load is an agent's report on its upstream.
type Load struct {
	service   string
	occupancy Occupancy
	condition Condition
	latency   Latency
}

// Heartbeat proves that the connection is alive and carries the sender's
// configuration version, and the load of an agent's upstream.
type Heartbeat struct {
	configVersion uint64
	load          Load
}

// Call is the HTTP request to run.
type Call struct {
	method string
	path   string
	header []Field
	body   []byte
}

// RequestOptions are the conditions under which a call may run.
type RequestOptions struct {
	deadlineMs int64
	priority   int
	idempotent bool
	stream     bool
	claimKey   string
	suspect    bool
}

// Size estimates the upstream memory that a call needs.
type Size struct {
	promptTokens int
	maxTokens    int
}

// Submit asks an agent to run a call.
type Submit struct {
	service       string
	customer      string
	call          Call
	options       RequestOptions `msg:"terms"`
	size          Size
	configVersion uint64
}

// Accepted tells that the agent has admitted the request.
type Accepted struct {
	incarnation uint64
}

// Refused tells that the agent did not admit the request.
type Refused struct {
	code         string
	retryAfterMs int64
	notRun       bool
}

// ResponseHead is the status line and header of the answer.
type ResponseHead struct {
	status int
	header []Field
}

// Data is a part of the answer body at an offset in bytes.
type Data struct {
	offset int64
	bytes  []byte
}

// End closes an answer. The checksum is xxhash64 over all body bytes.
type End struct {
	length   int64
	checksum uint64
	ok       bool
	code     string
}

// Credit tells how many answer bytes the caller has taken.
type Credit struct {
	offset int64
}

// Resume asks for an answer again from an offset in bytes.
type Resume struct {
	offset int64
}

// Gone tells that the agent does not hold the request id and will refuse it if
// it arrives later.
type Gone struct {
	incarnation uint64
	ran         bool
}

// ClaimQuery asks whether the agent has run the request with this claim. An
// agent that never saw it refuses it from then on.
type ClaimQuery struct {
	claimKey string
}

// ClaimState answers a ClaimQuery.
type ClaimState struct {
	state       string
	incarnation uint64
	status      int
	header      []Field
	body        []byte
}

// Subscribe asks a relay for versions newer than those held.
type Subscribe struct {
	configVersion       uint64
	drainFlagsVersion   uint64 `msg:"outVersion"`
	instanceListVersion uint64 `msg:"listVersion"`
}

// Version carries one whole versioned value.
type Version struct {
	kind    string
	version uint64
	value   []byte
}

// Shares tells other entries a customer's use and the suspects seen here.
type Shares struct {
	entry          string
	customerShares []Share `msg:"customers"`
	suspects       []Suspect
}

// Share is the request rate of one customer at one entry.
type Share struct {
	customer               string
	milliRequestsPerSecond int64 `msg:"perMille"`
	inFlight               int   `msg:"held"`
}

// Suspect is what an entry knows about a request that was running on upstreams
// when they crashed. Crashes are named by hashes that all entries derive alike.
type Suspect struct {
	fingerprint uint64
	crashes     []uint64
	cleared     []uint64
	quarantined bool
	remainingMs int64
}

// Crash tells every connected entry that the agent's upstream died and which
// requests were running on it.
type Crash struct {
	incarnation  uint64
	fingerprints []uint64
}
