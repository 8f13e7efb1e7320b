package server

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against requests that are refused at each configuration change, and
// against an agent that continues to serve with an outdated configuration.
func TestConfigLag(t *testing.T) {
	steps := []struct {
		name                    string
		now                     clock.Millis
		ownVersion, peerVersion uint64
		want                    bool
	}{
		{"same version", 1000, 4, 4, false},
		{"just behind", 2000, 4, 5, false},
		{"behind for the limit", 2000 + propagationLimit, 4, 5, false},
		{"behind for longer", 2001 + propagationLimit, 4, 5, true},
		{"caught up", 2002 + propagationLimit, 5, 5, false},
		{"behind again", 2003 + propagationLimit, 5, 6, false},
	}
	var l configLag
	for _, s := range steps {
		check.Equal(t, s.name, l.exceedsLimit(s.now, s.ownVersion, s.peerVersion), s.want)
	}
}
