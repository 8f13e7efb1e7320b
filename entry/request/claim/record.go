package claim

//go:generate go tool msgp -unexported -tests=false -io=false -file record.go -o record_gen.go

// The types below are the stored form of the log. The writer and the write
// number make the bytes of every batch and snapshot unique, so that an owner
// that reads back a write after a lost response can recognize its own.

//msgp:tuple storedRecord
type storedRecord struct {
	key         []byte
	body        uint64 // hash of the request
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

// snapshot holds all records up to and including position. The keys of pruned
// records are packed into pruned, prunedKeyBytes each.
//
//msgp:tuple snapshot
type snapshot struct {
	position    uint64
	writer      uint64
	writeNumber uint64
	live        []snapshotRecord
	pruned      []byte
}
