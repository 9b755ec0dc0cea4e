// Package hold orders requests for which no worker has a slot: the more urgent ones by
// their tenant and route, then those that were told to return for a slot that is due, then
// those that can still be in time, the one that must begin soonest in front; those that
// can't wait until nothing else does, also when their last moment is near: each would take
// the slot of one that can be in time. It has no input or output and no clock.
package hold

import (
	"cmp"
	"time"
)

// Rank is how urgent a request is; the least goes first, its tenant's priority before
// its route's.
type Rank struct {
	Tenant int `json:"tenant,omitempty"`
	Route  int `json:"route,omitempty"`
}

// Compare orders two ranks.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tenant, other.Tenant), cmp.Compare(r.Route, other.Route))
}

// Request is what is known of one that waits.
type Request struct {
	Rank Rank
	// Begin is when it must begin at the latest to be in time.
	Begin time.Time
	// Last is when it must begin at the latest to be answered at all.
	Last time.Time
	// Promised is the slot that it was told to return for; zero without one.
	Promised time.Time
}

// Class is how soon a request is to be taken; the least goes first.
type Class int

// The classes.
const (
	Promised Class = iota // was told to return, and the slot it was told of is due
	InTime                // can still be in time
	Late                  // can't be in time any more
)

// Class tells how a request stands now.
func (r Request) Class(now time.Time) Class {
	switch {
	case !r.Promised.IsZero() && !now.Before(r.Promised):
		return Promised
	case !now.After(r.Begin):
		return InTime
	}
	return Late
}

// Compare orders two requests as they are to be taken now.
func Compare(now time.Time, a, b Request) int {
	class := a.Class(now)
	return cmp.Or(a.Rank.Compare(b.Rank), cmp.Compare(class, b.Class(now)), compareIn(class, a, b))
}

func compareIn(class Class, a, b Request) int {
	switch class {
	case Promised:
		return a.Promised.Compare(b.Promised)
	case InTime:
		return a.Begin.Compare(b.Begin)
	}
	return a.Last.Compare(b.Last)
}
