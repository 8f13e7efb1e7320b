package objects

import (
	"cmp"
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/snapshot"
)

const (
	// versionTTL is how long a replaced version is remembered. Backups from which a store
	// is restored are seconds old.
	versionTTL = 10 * clock.Minute
	// maxVersions bounds the versions that are remembered.
	maxVersions = 512
)

// versionLog holds versions that were seen replaced or deleted, with the time at which that
// was seen. The zero value is ready to use.
type versionLog struct {
	at map[snapshot.Version]clock.Millis
}

func (l *versionLog) has(v snapshot.Version) bool {
	_, found := l.at[v]
	return found
}

func (l *versionLog) add(now clock.Millis, v snapshot.Version) {
	if l.at == nil {
		l.at = make(map[snapshot.Version]clock.Millis)
	}
	l.at[v] = now
	if len(l.at) > maxVersions {
		l.expire(now)
	}
}

func (l *versionLog) remove(v snapshot.Version) { delete(l.at, v) }

// expire removes old versions, and the oldest half if there are too many others.
func (l *versionLog) expire(now clock.Millis) {
	maps.DeleteFunc(l.at, func(_ snapshot.Version, at clock.Millis) bool { return now-at > versionTTL })
	if len(l.at) <= maxVersions {
		return
	}
	for _, v := range l.ordered()[:maxVersions/2] {
		delete(l.at, v)
	}
}

// ordered returns all versions, those seen replaced first at the beginning.
func (l *versionLog) ordered() []snapshot.Version {
	return slices.SortedFunc(maps.Keys(l.at), func(a, b snapshot.Version) int {
		return cmp.Or(cmp.Compare(l.at[a], l.at[b]), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Digest, b.Digest))
	})
}
