// Package check provides assertion functions for tests.
package check

import (
	"errors"
	"testing"
)

// Equal marks the test as failed if got differs from want.
func Equal[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Is marks the test as failed unless errors.Is(got, want) holds.
func Is(t testing.TB, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: got error %v, want %v", what, got, want)
	}
}

// NoError fails the test immediately if err is not nil.
func NoError(t testing.TB, what string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

// AtMost marks the test as failed if got is greater than want.
func AtMost[T ~int | ~int64 | ~uint64 | ~float64](t testing.TB, what string, got, want T) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %v, want at most %v", what, got, want)
	}
}
