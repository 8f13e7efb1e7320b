package adopt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/configuration"
)

// validConfiguration returns a configuration that differs for each version.
func validConfiguration(version uint64) []byte {
	return fmt.Appendf(nil, `{"dataCentres":[],"services":[],"models":[{"name":"v%d"}]}`, version)
}

func assertActions(t *testing.T, what string, got []Action, want ...string) {
	t.Helper()
	check.Equal(t, what+": number of actions", len(got), len(want))
	for i := range min(len(got), len(want)) {
		check.Equal(t, what, describe(got[i]), want[i])
	}
}

func describe(a Action) string {
	switch a := a.(type) {
	case Adopt:
		return fmt.Sprintf("adopt %d", a.Version)
	case Reject:
		return fmt.Sprintf("reject %d", a.Version)
	case Ready:
		return "ready"
	}
	return "unknown"
}

// Guards against serving with an unconfirmed configuration.
func TestReadiness(t *testing.T) {
	t.Run("platform", func(t *testing.T) {
		var a Adopter
		assertActions(t, "offer", a.Step(Offer{0, "", 5, validConfiguration(5)}), "adopt 5", "ready")
	})
	t.Run("two relays", func(t *testing.T) {
		var a Adopter
		assertActions(t, "first", a.Step(Offer{0, "r1", 5, validConfiguration(5)}), "adopt 5")
		assertActions(t, "same relay again", a.Step(Offer{0, "r1", 5, validConfiguration(5)}))
		assertActions(t, "second", a.Step(VersionReported{0, "r2", 5}), "ready")
	})
	t.Run("second relay reports a higher version", func(t *testing.T) {
		var a Adopter
		a.Step(Offer{0, "r1", 5, validConfiguration(5)})
		assertActions(t, "report", a.Step(VersionReported{0, "r2", 6}))
		check.Equal(t, "behind", a.Behind(), true)
		assertActions(t, "offer", a.Step(Offer{0, "r2", 6, validConfiguration(6)}), "adopt 6", "ready")
	})
	t.Run("platform down and one relay", func(t *testing.T) {
		var a Adopter
		a.Step(PlatformFailed{100})
		assertActions(t, "offer", a.Step(Offer{200, "r1", 5, validConfiguration(5)}), "adopt 5")
		assertActions(t, "before the timeout", a.Step(Tick{100 + ConfirmationTimeout - 1}))
		assertActions(t, "later failure", a.Step(PlatformFailed{100 + ConfirmationTimeout - 1}))
		assertActions(t, "at the timeout", a.Step(Tick{100 + ConfirmationTimeout}), "ready")
	})
	t.Run("one relay without a failed call to the platform", func(t *testing.T) {
		var a Adopter
		a.Step(Offer{0, "r1", 5, validConfiguration(5)})
		assertActions(t, "tick", a.Step(Tick{clock.Hour}))
	})
	t.Run("relays without a configuration", func(t *testing.T) {
		var a Adopter
		a.Step(VersionReported{0, "r1", 0})
		assertActions(t, "report", a.Step(VersionReported{0, "r2", 0}))
	})
}

// Guards against a rollback to an older version when a relay is behind or a read
// of the platform returns stale data.
func TestOldVersionIsNotAdopted(t *testing.T) {
	for _, relay := range []string{"", "r1"} {
		t.Run("from "+relay, func(t *testing.T) {
			var a Adopter
			a.Step(Offer{0, "", 7, validConfiguration(7)})
			assertActions(t, "older", a.Step(Offer{1, relay, 6, validConfiguration(6)}))
			assertActions(t, "same", a.Step(Offer{1, relay, 7, validConfiguration(6)}))
			check.Equal(t, "version", a.Version(), uint64(7))
		})
	}
}

// Guards against an invalid configuration that replaces a valid one or is parsed
// again on each offer.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	var a Adopter
	a.Step(Offer{0, "", 7, validConfiguration(7)})
	actions := a.Step(Offer{1, "", 8, []byte("{")})
	assertActions(t, "invalid configuration", actions, "reject 8")
	check.Is(t, "cause", actions[0].(Reject).Err, configuration.ErrSyntax)
	assertActions(t, "same version again", a.Step(Offer{1, "r1", 8, []byte("{")}))
	check.Equal(t, "version", a.Version(), uint64(7))
	check.Equal(t, "behind", a.Behind(), false)
	assertActions(t, "next", a.Step(Offer{1, "", 9, validConfiguration(9)}), "adopt 9")
}

// Guards against a sequence of offers that lowers the version in force or revokes
// readiness.
func TestRandomOffers(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var a Adopter
		var highest uint64
		wasReady := false
		for at := range clock.Millis(100) {
			version := random.Uint64N(50)
			relay := []string{"", "r1", "r2", "r3"}[random.IntN(4)]
			before := a.Version()
			a.Step(Offer{at, relay, version, validConfiguration(version)})
			highest = max(highest, version)
			check.Equal(t, "version lowered", a.Version() < before, false)
			check.Equal(t, "readiness revoked", wasReady && !a.Ready(), false)
			wasReady = a.Ready()
		}
		check.Equal(t, "in force", a.Version(), highest)
	}
}
