// Package check provides assertion functions for tests.
package check

import (
	"errors"
	"testing"
	"time"
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

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// Reached waits until a condition holds, at most for a time, and reports whether it does.
func Reached(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Await waits until a condition holds and fails the test immediately if it does not within a time.
func Await(t testing.TB, what string, timeout time.Duration, condition func() bool) {
	t.Helper()
	if !Reached(timeout, condition) {
		t.Fatalf("%s: got none within %v, want it", what, timeout)
	}
}
