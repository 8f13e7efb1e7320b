package quarantine

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// outageGap is the time between two crashes from which on they belong to two outages.
// Upstreams that fail together for a cause from outside crash at the same moment.
const outageGap = clock.Second

// suspect is a fingerprint that may be the cause of several crashes.
type suspect struct {
	fingerprint Fingerprint
	// crashes are the crashes under the fingerprint, in the order of their time.
	crashes []Crash
}

// lastCrash returns the time of the last crash.
func (s suspect) lastCrash() clock.Millis { return s.crashes[len(s.crashes)-1].At }

// findCauses returns the likely causes of crashes, which are in the order of their time.
func findCauses(crashes []Crash, h *history) []suspect {
	suspects := findSuspects(crashes, h)
	var causes []suspect
	for _, s := range suspects {
		if !slices.ContainsFunc(suspects, func(other suspect) bool { return other.moreLikely(s, h) }) {
			causes = append(causes, s)
		}
	}
	return causes
}

// findSuspects returns the fingerprints under which enough upstreams have crashed and with
// which no request has succeeded lately. Of an outage only fingerprints count under which
// most of its upstreams crashed.
func findSuspects(crashes []Crash, h *history) []suspect {
	under := make(map[Fingerprint][]Crash)
	for _, outage := range outages(crashes) {
		for f, of := range crashesByFingerprint(outage) {
			if 2*len(of) > len(outage) && !h.succeeded(f) {
				under[f] = append(under[f], of...)
			}
		}
	}
	var suspects []suspect
	for f, of := range under {
		if len(of) >= crashesToQuarantine {
			suspects = append(suspects, suspect{f, of})
		}
	}
	return suspects
}

// outages divides crashes, in the order of their time, where outageGap lies between two.
func outages(crashes []Crash) [][]Crash {
	var out [][]Crash
	for i, c := range crashes {
		if i == 0 || c.At-crashes[i-1].At >= outageGap {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], c)
	}
	return out
}

func crashesByFingerprint(crashes []Crash) map[Fingerprint][]Crash {
	out := make(map[Fingerprint][]Crash)
	for _, c := range crashes {
		for _, f := range distinct(c.Requests) {
			out[f] = append(out[f], c)
		}
	}
	return out
}

// moreLikely reports whether s explains the crashes under other and is the more likely
// cause of them: because other never occurs without s, and s explains more crashes, is
// rarer or, if they are equally rare, comes later in the request. Later parts of a prompt
// are shared by fewer requests, and a part may crash upstreams in other requests as well.
func (s suspect) moreLikely(other suspect, h *history) bool {
	if s.fingerprint == other.fingerprint || !s.explains(other) {
		return false
	}
	request, together := other.alwaysWith(s.fingerprint)
	if !together {
		return false
	}
	if len(s.crashes) > len(other.crashes) {
		return true
	}
	mine, others := h.arrivals(s.fingerprint), h.arrivals(other.fingerprint)
	isLater := slices.Index(request, s.fingerprint) > slices.Index(request, other.fingerprint)
	return mine < others || (mine == others && isLater)
}

// explains reports whether all crashes under other are crashes under s.
func (s suspect) explains(other suspect) bool {
	for _, c := range other.crashes {
		if !slices.ContainsFunc(s.crashes, func(mine Crash) bool { return mine.incarnation() == c.incarnation() }) {
			return false
		}
	}
	return true
}

// alwaysWith reports whether all requests with the fingerprint of s have f, too, and
// returns one of them.
func (s suspect) alwaysWith(f Fingerprint) (request []Fingerprint, together bool) {
	for _, c := range s.crashes {
		for _, r := range c.Requests {
			if !slices.Contains(r, s.fingerprint) {
				continue
			}
			if !slices.Contains(r, f) {
				return nil, false
			}
			request = r
		}
	}
	return request, true
}
