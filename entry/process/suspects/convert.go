package suspects

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/suspect"
)

// maxPerFrame bounds the verdicts or fingerprints accepted from one frame.
const maxPerFrame = 1024

func sharesOf(verdicts []suspect.Verdict) *frame.Shares {
	all := make([]frame.Suspect, 0, len(verdicts))
	for _, v := range verdicts {
		all = append(all, frame.NewSuspect(uint64(v.Fingerprint()), convertHashes[uint64](v.Crashes()), convertHashes[uint64](v.Cleared()), v.Quarantined(), int64(v.Remaining())))
	}
	return frame.NewShares("", nil, all)
}

func verdictsOf(m *frame.Shares) []suspect.Verdict {
	received := m.Suspects()
	received = received[:min(len(received), maxPerFrame)]
	all := make([]suspect.Verdict, 0, len(received))
	for _, x := range received {
		all = append(all, suspect.NewVerdict(suspect.Fingerprint(x.Fingerprint()), convertHashes[suspect.Crash](x.Crashes()), convertHashes[suspect.Crash](x.Cleared()), x.Quarantined(), clock.Millis(x.RemainingMs())))
	}
	return all
}

// convertHashes converts hashes to another hash type.
func convertHashes[To, From ~uint64](all []From) []To {
	var out []To
	for _, n := range all {
		out = append(out, To(n))
	}
	return out
}
