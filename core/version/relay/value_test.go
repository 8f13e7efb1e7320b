package relay

import (
	"fmt"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/drainflag"
)

// withVersions returns s after versions from to to of each value.
func withVersions(s *Snapshot, from, to uint64) *Snapshot {
	for v := from; v <= to; v++ {
		next := *s
		next.config = next.config.next(v, []byte(configJSON(fmt.Sprint("v", v))))
		s = &next
		s, _ = s.withDrainFlags(drainFlagsReceived{version: v, drainSet: drainflag.NewSet(drainflag.Instance(fmt.Sprint(v)))})
		s, _ = s.withInstances(instancesReceived{version: v, instanceList: []platform.Instance{platform.NewInstance(fmt.Sprint(v), "", "x", "")}})
	}
	return s
}

// applyFrames applies pushed frames to a snapshot as a subscriber does.
func applyFrames(t *testing.T, s *Snapshot, frames []*frame.Version) *Snapshot {
	t.Helper()
	for _, v := range frames {
		in, err := s.decodePush("r", v)
		check.NoError(t, "decode "+v.Kind(), err)
		switch in := in.(type) {
		case configReceived:
			next := *s
			next.config = next.config.next(in.version, in.value)
			s = &next
		case drainFlagsReceived:
			s, _ = s.withDrainFlags(in)
		case instancesReceived:
			s, _ = s.withInstances(in)
		}
	}
	return s
}

// Guards against a subscriber whose values differ from those of its relay,
// whatever it held before.
func TestFramesBringASubscriberUpToDate(t *testing.T) {
	relay := withVersions(&Snapshot{}, 1, 9)
	for _, row := range []struct {
		name   string
		held   *Snapshot
		frames int
	}{
		{"holds nothing", &Snapshot{}, 3},
		{"two versions behind", withVersions(&Snapshot{}, 1, 7), 6},
		{"up to date", relay, 0},
		{"ahead", withVersions(&Snapshot{}, 1, 11), 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			frames := relay.frames(row.held.versions())
			check.Equal(t, "frames", len(frames), row.frames)
			got := applyFrames(t, row.held, frames)
			if row.frames > 0 {
				check.Equal(t, "configuration", string(got.config.value), string(relay.config.value))
				check.Equal(t, "drain flags", string(got.drainFlags.value), string(relay.drainFlags.value))
				check.Equal(t, "instance list", string(got.instanceList.value), string(relay.instanceList.value))
				check.Equal(t, "versions", got.versions(), relay.versions())
			}
		})
	}
}

// Guards against a delta that is applied although an earlier one was missed.
func TestMissedDelta(t *testing.T) {
	relay := withVersions(&Snapshot{}, 1, 9)
	behind := withVersions(&Snapshot{}, 1, 5)
	for _, v := range relay.frames(versions{8, 8, 8 << listVersionShift}) {
		_, err := behind.decodePush("r", v)
		check.Is(t, v.Kind(), err, errDelta)
	}
}

// Guards against a lagging relay or reading that rolls values back.
func TestOlderVersionsAreIgnored(t *testing.T) {
	s := withVersions(&Snapshot{}, 1, 9)
	_, changed := s.withDrainFlags(drainFlagsReceived{version: 8, drainSet: drainflag.NewSet(), relayed: true})
	check.Equal(t, "drain flags changed", changed, false)
	_, changed = s.withInstances(instancesReceived{version: 8 << listVersionShift, relayed: true})
	check.Equal(t, "list changed", changed, false)
	_, changed = s.withInstances(instancesReceived{version: 8})
	check.Equal(t, "list changed by a late reading of this process", changed, false)
}

// Guards against two relays that push full lists to each other every few seconds
// because they assign different versions to the same list.
func TestSameValueTakesTheHigherVersion(t *testing.T) {
	s := withVersions(&Snapshot{}, 1, 9)
	updated, changed := s.withInstances(instancesReceived{12 << listVersionShift, s.Instances(), true})
	check.Equal(t, "relayed list changed", changed, true)
	check.Equal(t, "list version", updated.versions().instanceList, uint64(12<<listVersionShift))
	_, changed = s.withInstances(instancesReceived{12, s.Instances(), false})
	check.Equal(t, "list changed by a reading of this process", changed, false)
	updated, _ = s.withDrainFlags(drainFlagsReceived{12, s.DrainFlags(), true})
	check.Equal(t, "drain flags version", updated.versions().drainFlags, uint64(12))
	_, changed = s.withDrainFlags(drainFlagsReceived{12, s.DrainFlags(), false})
	check.Equal(t, "drain flags changed by a reading of this process", changed, false)
}

// Guards against a subscriber that keeps an outdated list. Two reads at one version
// of the store can return different lists; the second must replace the first at
// every subscriber.
func TestTwoListsAtOneVersion(t *testing.T) {
	older := []platform.Instance{platform.NewInstance("a", "", "x", "")}
	newer := append(older, platform.NewInstance("b", "", "x", ""))
	first, _ := (&Snapshot{}).withInstances(instancesReceived{version: 5, instanceList: older})
	subscriber := applyFrames(t, &Snapshot{}, first.frames(versions{}))
	second, changed := first.withInstances(instancesReceived{version: 5, instanceList: newer})
	check.Equal(t, "second reading changed", changed, true)
	subscriber = applyFrames(t, subscriber, second.frames(subscriber.versions()))
	check.Equal(t, "instances at the subscriber", len(subscriber.Instances()), 2)
}

// Guards against a malformed push that is accepted or crashes the process.
func TestMalformedPush(t *testing.T) {
	s := withVersions(&Snapshot{}, 1, 2)
	for _, kind := range []string{kindDrainFlags, kindInstances, kindDrainFlagsDelta, kindInstancesDelta, kindConfigDelta, "other"} {
		if _, err := s.decodePush("r", frame.NewVersion(kind, 1<<60, []byte("{"))); err == nil {
			t.Errorf("%s: got no error, want one", kind)
		}
	}
}
