package suspects

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/suspect"
)

// maxReceived bounds the verdicts taken from one frame.
const maxReceived = 1024

func sharesOf(verdicts []suspect.Verdict) *frame.Shares {
	all := make([]frame.Suspect, 0, len(verdicts))
	for _, v := range verdicts {
		all = append(all, frame.NewSuspect(uint64(v.Fingerprint()), numbers[uint64](v.Crashes()), numbers[uint64](v.Cleared()), v.Quarantined(), int64(v.Remaining())))
	}
	return frame.NewShares("", nil, all)
}

func verdictsOf(m *frame.Shares) []suspect.Verdict {
	received := m.Suspects()
	received = received[:min(len(received), maxReceived)]
	all := make([]suspect.Verdict, 0, len(received))
	for _, x := range received {
		all = append(all, suspect.NewVerdict(suspect.Fingerprint(x.Fingerprint()), numbers[suspect.Crash](x.Crashes()), numbers[suspect.Crash](x.Cleared()), x.Quarantined(), clock.Millis(x.RemainingMs())))
	}
	return all
}

// numbers converts hashes between their types.
func numbers[To, From ~uint64](all []From) []To {
	var out []To
	for _, n := range all {
		out = append(out, To(n))
	}
	return out
}
