// Package machine defines the interface of the deterministic, single-threaded state
// machines that implement dykewing's coordination.
//
// A machine reads no clock, starts no goroutine and performs no I/O. Its only source of
// randomness is part of its settings. The same sequence of (now, message) pairs therefore
// always yields the same actions, on which the simulator and the embedding processes rely.
package machine

import "time"

// Machine is a state machine that handles messages of type M and returns actions of
// type A. Step must not be called concurrently. The caller owns the returned slice and
// must carry out the actions in order.
type Machine[M, A any] interface {
	Step(now time.Time, message M) []A
}
