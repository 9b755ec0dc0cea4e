// Package waitorder orders requests that are queued for a slot: by the rank of their tenant and
// route, then promised retries whose slot is due, then requests that can still start on
// time, earliest deadline first, then late ones. Late requests go last even if they are
// about to expire, since each would take the slot of a request that can be on time. The
// package does no I/O and reads no clock.
package waitorder

import (
	"cmp"
	"time"
)

// Rank is the priority of a request. Lower values go first; the tenant's priority takes
// precedence over the route's.
type Rank struct {
	Tenant int `json:"tenant,omitempty"`
	Route  int `json:"route,omitempty"`
}

// Compare returns a negative number if r goes before other, 0 if they are equal, and a
// positive number otherwise.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tenant, other.Tenant), cmp.Compare(r.Route, other.Route))
}

// Request is a queued request.
type Request struct {
	Rank Rank
	// Target is the latest start at which the request is on time.
	Target time.Time
	// Deadline is the latest start at which the request can be answered at all.
	Deadline time.Time
	// Promised is the time of the slot promised for this retry; zero if there is none.
	Promised time.Time
}

// Class is the order of requests of equal rank. Lower values go first.
type Class int

// Request classes.
const (
	Promised Class = iota // retry whose promised slot is due
	OnTime                // can still start on time
	Late                  // can no longer start on time
)

// Class returns the class of the request at the given time.
func (r Request) Class(now time.Time) Class {
	switch {
	case !r.Promised.IsZero() && !now.Before(r.Promised):
		return Promised
	case !now.After(r.Target):
		return OnTime
	}
	return Late
}

// Compare compares two requests by the order in which they get slots at the given time.
func Compare(now time.Time, a, b Request) int {
	class := a.Class(now)
	return cmp.Or(a.Rank.Compare(b.Rank), cmp.Compare(class, b.Class(now)), compareInClass(class, a, b))
}

func compareInClass(class Class, a, b Request) int {
	switch class {
	case Promised:
		return a.Promised.Compare(b.Promised)
	case OnTime:
		return a.Target.Compare(b.Target)
	}
	return a.Deadline.Compare(b.Deadline)
}
