package server

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against requests that are refused at each change of the configuration,
// and against an agent that serves on with a configuration that is long replaced.
func TestLag(t *testing.T) {
	steps := []struct {
		name       string
		now        clock.Millis
		own, peers uint64
		want       bool
	}{
		{"same version", 1000, 4, 4, false},
		{"just behind", 2000, 4, 5, false},
		{"behind for the limit", 2000 + inForceLimit, 4, 5, false},
		{"behind for longer", 2001 + inForceLimit, 4, 5, true},
		{"caught up", 2002 + inForceLimit, 5, 5, false},
		{"behind anew", 2003 + inForceLimit, 5, 6, false},
	}
	var l lag
	for _, s := range steps {
		check.Equal(t, s.name, l.tooLong(s.now, s.own, s.peers), s.want)
	}
}
