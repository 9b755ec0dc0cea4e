// Package machine states the one shape that every coordination part of
// dykewing has: a deterministic, single-threaded state machine.
//
// A machine reads no clock, starts no goroutine and does no input or output.
// Randomness comes only from a source that its settings carry. The same
// sequence of (now, message) pairs therefore always gives the same actions,
// which is what the simulator and the embedding processes both rely on.
package machine

import "time"

// Machine is a state machine that takes messages of type M and asks for
// actions of type A. Step must not be called concurrently. The returned
// actions are to be carried out in order; the slice is owned by the caller.
type Machine[M, A any] interface {
	Step(now time.Time, message M) []A
}
