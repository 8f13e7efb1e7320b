package claim

//go:generate go tool msgp -unexported -tests=false -io=false -file record.go -o record_gen.go

// The types below are the stored form of the log. A batch or snapshot is
// recognised after a lost response by its writer and number.

//msgp:tuple storedRecord
type storedRecord struct {
	key         []byte
	body        uint64
	upstream    string
	incarnation uint64
	entry       uint64
	sequence    uint64
}

//msgp:tuple storedField
type storedField struct {
	name  string
	value string
}

//msgp:tuple storedOutcome
type storedOutcome struct {
	key         []byte
	position    uint64
	index       int
	state       int
	hasResponse bool
	status      int
	header      []storedField
	body        []byte
}

//msgp:tuple batch
type batch struct {
	position    uint64
	writer      uint64
	writeNumber uint64
	claimedAtMs int64
	outcomes    []storedOutcome
	claimed     []storedRecord
}

//msgp:tuple snapshotRecord
type snapshotRecord struct {
	claimed     storedRecord
	outcome     storedOutcome
	claimedAtMs int64
}

// snapshot holds all claims up to and including position. The keys of settled
// claims without an answer are packed into ran, ranBytes each.
//
//msgp:tuple snapshot
type snapshot struct {
	position    uint64
	writer      uint64
	writeNumber uint64
	live        []snapshotRecord
	pruned      []byte
}
