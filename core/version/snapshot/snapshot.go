// Package snapshot defines the messages by which an entry that the store does not
// serve loads the store's objects from an entry that it serves.
package snapshot

//go:generate go tool msgp -tests=false -io=false -file snapshot.go -o snapshot_gen.go

//msgp:tuple Position Request Object Version Kind Reply

// Position is a point in the history of the store. Positions of one timeline are ordered by
// their revisions; a later timeline follows all revisions of the earlier ones.
type Position struct {
	// Timeline counts the restores of the store from a backup. A restored store has lost
	// its latest changes and gives their revisions out again.
	Timeline int64
	Revision int64
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	if p.Timeline != q.Timeline {
		return p.Timeline < q.Timeline
	}
	return p.Revision < q.Revision
}

// Request requests all objects.
type Request struct {
	// Positions are the positions that the requesting entry has, by kind in the order
	// of the reply. The reply omits the objects of a kind that has not changed.
	Positions []Position
	// WantReplaced requests Kind.Replaced.
	WantReplaced bool
}

// Object is an object as read from the store.
type Object struct {
	Name     string
	Revision int64
	Content  []byte
}

// Version identifies a state of an object. A revision alone does not: a restored store gives
// revisions out again.
type Version struct {
	Name     string
	Revision int64
	// Digest is a digest of the content.
	Digest uint64
}

// Kind holds all objects of one kind.
type Kind struct {
	Name string
	// At is the position of the store that the objects reflect.
	At Position
	// Unchanged reports whether the requesting entry already has this position or a
	// later one. Objects is empty then, unless that one is in a later timeline.
	Unchanged bool
	Objects   []Object
	// Retained are the objects that stand for what the store has lost in a restore.
	Retained []Object
	// Replaced are the versions that the entry has seen replaced or deleted lately. It is
	// empty unless the request asks for it or has a position of an earlier timeline.
	Replaced []Version
}

// Reply holds the objects that an entry has.
type Reply struct {
	// Current reports whether the entry is up to date with the store. The other
	// fields are empty if it is not.
	Current bool
	Kinds   []Kind
}
