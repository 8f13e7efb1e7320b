package quarantine

import "goldcrestshore/core/process/clock"

// crashesToQuarantineOwn is the number of crashes under a request's own fingerprint after which it
// is quarantined although it is not known which fingerprints are sound, or although other requests
// have caused most of the crashes of that time. A request that comes often may run at two upstreams
// that fail for another reason before its first success.
const crashesToQuarantineOwn = 3

// findRepeated returns the time of the last crash by fingerprint of those under which
// crashesToQuarantineOwn crashes lie so far apart that the upstreams can't have failed together, and
// with which no request has succeeded lately. Only for a request's own fingerprints this tells the
// cause: what requests share is in flight at most crashes.
func findRepeated(crashes []Crash, h *history) map[Fingerprint]clock.Millis {
	out := make(map[Fingerprint]clock.Millis)
	for f, of := range crashesByFingerprint(crashes) {
		first, last := of[0].At, of[len(of)-1].At
		if len(of) >= crashesToQuarantineOwn && last-first >= outageGap && !h.succeeded(f) {
			out[f] = last
		}
	}
	return out
}

// blockRepeated quarantines those of a request's own fingerprints that have crashed upstreams again
// and again. It returns how long the request is refused until that is decided, 0 if it is.
func (t *Tracker) blockRepeated(now clock.Millis, request Request) (remaining clock.Millis) {
	for _, f := range request.own() {
		lastCrash, found := t.repeated[f]
		if !found || t.history.succeeded(f) {
			continue
		}
		if due := lastCrash + settleTime; now < due {
			remaining = max(remaining, due-now)
			continue
		}
		t.mergeBlock(now, Block{Fingerprint: f, Until: lastCrash + Block{}.duration()})
		delete(t.repeated, f)
	}
	return remaining
}
