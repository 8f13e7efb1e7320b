// Package lagged keeps the recent states of a value, so that a stand-in can
// report them late.
package lagged

import "goldcrestshore/core/process/clock"

// maxStates bounds the memory of one value. Beyond it the oldest states are
// forgotten and the report is fresher than the lag asks for.
const maxStates = 4096

// Value is a value with its past. The zero value is empty. It is not safe for
// concurrent use.
type Value[T any] struct {
	states []timedState[T]
}

type timedState[T any] struct {
	at    clock.Millis
	state T
}

// Set records the state from now on.
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

// At returns the state at an instant, or the zero value before the first one,
// and forgets the states before it.
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
