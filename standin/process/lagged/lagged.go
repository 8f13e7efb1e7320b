// Package lagged keeps the recent states of a value, so that a stand-in can report
// them with a delay.
package lagged

import "goldcrestshore/core/process/clock"

// maxStates bounds the memory of one value. Beyond it the oldest states are
// discarded, and the reported state lags less than requested.
const maxStates = 4096

// Value is a value with its history. The zero value is empty. It is not safe for
// concurrent use.
type Value[T any] struct {
	states []timedState[T]
}

type timedState[T any] struct {
	at    clock.Millis
	state T
}

// Set records a state that is valid from now on.
func (v *Value[T]) Set(now clock.Millis, state T) {
	if n := len(v.states); n > 0 && v.states[n-1].at == now {
		v.states[n-1].state = state
		return
	}
	if len(v.states) == maxStates {
		v.states = append(v.states[:0], v.states[1:]...)
	}
	v.states = append(v.states, timedState[T]{now, state})
}

// At returns the state at an instant, or the zero value if the instant is before the
// first state. It discards the earlier states.
func (v *Value[T]) At(instant clock.Millis) T {
	var state T
	current := 0
	for i, d := range v.states {
		if d.at > instant {
			break
		}
		state = d.state
		current = i
	}
	v.states = append(v.states[:0], v.states[current:]...)
	return state
}
