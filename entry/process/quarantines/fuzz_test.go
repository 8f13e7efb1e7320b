package quarantines

import (
	"io"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/request/quarantine"
)

// maxShared is the size of an object that the platform's store takes.
const maxShared = 1 << 20

// FuzzState merges any stored state. No request is refused for longer than a quarantine lasts, a
// request that crashes upstreams is still found, and what is stored in turn fits the store.
func FuzzState(f *testing.F) {
	for _, raw := range []string{
		`{"crashes":[{"upstream":"u","startTime":1,"atMs":3600000,"requests":[[1,2],[7]]}],"blocks":[{"fingerprint":7,"untilMs":3700000,"renewals":1}]}`,
		`{"blocks":[{"fingerprint":7,"untilMs":9223372036854775807,"renewals":9223372036854775807}]}`,
		`{"blocks":[{"fingerprint":7,"untilMs":-1,"renewals":-1}]}`,
		`{"crashes":[{"upstream":"u","startTime":-1,"atMs":9223372036854775807,"requests":null}]}`,
		`{"crashes":[{"requests":[[]]}]}`, `null`, `7`,
	} {
		f.Add([]byte(raw))
		for _, m := range check.Mutations(300, []byte(raw)) {
			f.Add(m)
		}
	}
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(f, "NewLog", err)
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := clock.NewManual(clock.Hour)
		s := &Service{Clock: c, Log: log}
		s.Arrived(request(99))
		s.Succeeded(request(99))
		c.Advance(clock.Minute)
		s.Received(raw)
		for _, fingerprint := range []quarantine.Fingerprint{1, 2, 7, 99} {
			check.AtMost(t, "ms of quarantine", s.Remaining(request(fingerprint)), clock.Hour)
		}
		for i := range 6 {
			c.Advance(clock.Second)
			s.Crashed("crashed", int64(1000+i), request(5))
		}
		check.Equal(t, "crashing request is refused", s.Remaining(request(5)) > 0, true)
		encoded, err := s.merged(quarantine.State{}).Encode()
		check.NoError(t, "Encode", err)
		check.AtMost(t, "bytes to store", len(encoded), maxShared)
	})
}
