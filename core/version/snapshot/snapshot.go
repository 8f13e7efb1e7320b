// Package snapshot has the messages by which an entry that the store does not
// serve learns the store's objects from one that it serves.
package snapshot

//go:generate go tool msgp -tests=false -io=false -file snapshot.go -o snapshot_gen.go

//msgp:tuple Request Object Kind Reply

// Request asks for all objects.
type Request struct {
	// Revisions are the revisions that the asking entry has, by kind in the order
	// of the reply; a kind that has not changed is left out of the reply.
	Revisions []int64
}

// Object is one object of the store as it was read.
type Object struct {
	Name     string
	Revision int64
	Content  []byte
}

// Kind is all objects of a kind.
type Kind struct {
	Name string
	// Revision is the store's revision that the objects reflect.
	Revision int64
	// Unchanged tells that the asking entry has this revision.
	Unchanged bool
	Objects   []Object
}

// Reply is what an entry knows.
type Reply struct {
	// Current tells that the entry is in step with the store; the rest is empty
	// when it is not.
	Current bool
	Kinds   []Kind
}
