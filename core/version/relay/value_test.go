package relay

import (
	"fmt"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/mark"
)

// grow returns a snapshot with n versions of each value.
func grow(s *Snapshot, from, to uint64) *Snapshot {
	for v := from; v <= to; v++ {
		next := *s
		next.config = next.config.next(v, []byte(configText(fmt.Sprint("v", v))))
		s = &next
		s, _ = s.withMarks(marked{version: v, marks: mark.NewSet(mark.Instance(fmt.Sprint(v)))})
		s, _ = s.withList(listed{version: v, list: []platform.Instance{platform.NewInstance(fmt.Sprint(v), "", "x", "")}})
	}
	return s
}

// follow applies frames as a subscriber does.
func follow(t *testing.T, s *Snapshot, frames []*frame.Version) *Snapshot {
	t.Helper()
	for _, v := range frames {
		in, err := s.resolve("r", v)
		check.NoError(t, "resolve "+v.Kind(), err)
		switch in := in.(type) {
		case offered:
			next := *s
			next.config = next.config.next(in.version, in.value)
			s = &next
		case marked:
			s, _ = s.withMarks(in)
		case listed:
			s, _ = s.withList(in)
		}
	}
	return s
}

// Guards against a subscriber that ends up with other values than its relay,
// whatever it held before.
func TestFramesBringASubscriberUpToDate(t *testing.T) {
	relay := grow(&Snapshot{}, 1, 9)
	for _, row := range []struct {
		name   string
		held   *Snapshot
		frames int
	}{
		{"holds nothing", &Snapshot{}, 3},
		{"two versions behind", grow(&Snapshot{}, 1, 7), 6},
		{"up to date", relay, 0},
		{"ahead", grow(&Snapshot{}, 1, 11), 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			frames := relay.frames(row.held.versions())
			check.Equal(t, "frames", len(frames), row.frames)
			got := follow(t, row.held, frames)
			if row.frames > 0 {
				check.Equal(t, "text", string(got.config.value), string(relay.config.value))
				check.Equal(t, "marks", string(got.out.value), string(relay.out.value))
				check.Equal(t, "list", string(got.list.value), string(relay.list.value))
				check.Equal(t, "versions", got.versions(), relay.versions())
			}
		})
	}
}

// Guards against a delta that is applied although an earlier one was missed.
func TestMissedDelta(t *testing.T) {
	relay := grow(&Snapshot{}, 1, 9)
	behind := grow(&Snapshot{}, 1, 5)
	for _, v := range relay.frames(versions{8, 8, 8 << labelShift}) {
		_, err := behind.resolve("r", v)
		check.Is(t, v.Kind(), err, errDelta)
	}
}

// Guards against a late relay that takes values back.
func TestOldValuesAreNotTaken(t *testing.T) {
	s := grow(&Snapshot{}, 1, 9)
	_, changed := s.withMarks(marked{version: 8, marks: mark.NewSet(), relayed: true})
	check.Equal(t, "marks changed", changed, false)
	_, changed = s.withList(listed{version: 8 << labelShift, relayed: true})
	check.Equal(t, "list changed", changed, false)
	_, changed = s.withList(listed{version: 8})
	check.Equal(t, "list changed by an own late reading", changed, false)
}

// Guards against a push of whole lists every few seconds between two relays
// that label the same list differently.
func TestSameValueTakesTheHigherLabel(t *testing.T) {
	s := grow(&Snapshot{}, 1, 9)
	again, changed := s.withList(listed{12 << labelShift, s.Instances(), true})
	check.Equal(t, "relayed list changed", changed, true)
	check.Equal(t, "label", again.versions().list, uint64(12<<labelShift))
	_, changed = s.withList(listed{12, s.Instances(), false})
	check.Equal(t, "own reading changed", changed, false)
	again, _ = s.withMarks(marked{12, s.Out(), true})
	check.Equal(t, "label of marks", again.versions().out, uint64(12))
	_, changed = s.withMarks(marked{12, s.Out(), false})
	check.Equal(t, "own reading of marks changed", changed, false)
}

// Guards against a subscriber that keeps an old list: two sources read different
// lists at one version of the store, and the second list must still replace the
// first wherever that has arrived.
func TestTwoListsAtOneVersion(t *testing.T) {
	older := []platform.Instance{platform.NewInstance("a", "", "x", "")}
	newer := append(older, platform.NewInstance("b", "", "x", ""))
	first, _ := (&Snapshot{}).withList(listed{version: 5, list: older})
	subscriber := follow(t, &Snapshot{}, first.frames(versions{}))
	second, changed := first.withList(listed{version: 5, list: newer})
	check.Equal(t, "second reading changed", changed, true)
	subscriber = follow(t, subscriber, second.frames(subscriber.versions()))
	check.Equal(t, "instances at the subscriber", len(subscriber.Instances()), 2)
}

// Guards against a malformed push that ends the process.
func TestMalformedPush(t *testing.T) {
	s := grow(&Snapshot{}, 1, 2)
	for _, kind := range []string{kindOut, kindList, kindOutDelta, kindListDelta, kindConfigDelta, "other"} {
		if _, err := s.resolve("r", frame.NewVersion(kind, 1<<60, []byte("{"))); err == nil {
			t.Errorf("%s: got no error, want one", kind)
		}
	}
}
