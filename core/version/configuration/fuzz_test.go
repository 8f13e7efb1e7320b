package configuration

import (
	"errors"
	"os"
	"testing"
)

// FuzzParse guards against input that crashes Parse or is rejected without a
// position. A valid configuration must find each of its own routes.
func FuzzParse(f *testing.F) {
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := Parse(raw)
		if err != nil {
			assertPositions(t, err)
			return
		}
		assertRoutesFound(t, parsed)
	})
}

func assertPositions(t *testing.T, err error) {
	t.Helper()
	var ps Problems
	if !errors.As(err, &ps) || len(ps) == 0 {
		t.Fatalf("got error %v, want Problems", err)
	}
	for _, p := range ps {
		if p.Line() < 1 || p.Column() < 1 {
			t.Errorf("position of %v: got %d:%d, want at least 1:1", p, p.Line(), p.Column())
		}
	}
}

func assertRoutesFound(t *testing.T, parsed *Configuration) {
	t.Helper()
	for _, s := range parsed.Services() {
		for _, want := range s.Routes() {
			_, got, ok := parsed.Route(want.Method(), want.Path())
			if !ok || got != want {
				t.Errorf("route: got %v, want %v", got, want)
			}
		}
	}
}
