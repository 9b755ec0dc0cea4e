// Package quota keeps the ceilings of the table's rows across all routers. An
// Owner, one for each row, grants shares of the ceiling that expire; a Holder
// admits only within the shares that it holds. Invariant: the sum of the
// shares that can be in use never passes the ceiling.
package quota

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Share is a part of a row's ceiling, granted to one router until it expires.
type Share struct {
	Key         api.RowKey    `json:"key"`
	Epoch       uint64        `json:"epoch"` // the owner's term; a holder refuses older ones
	Concurrency int           `json:"concurrency"`
	Rate        float64       `json:"rate"` // requests a second
	Lifetime    time.Duration `json:"lifetime"`
}

// ShareRequest is what a router asks an owner for: the share it wants, and the
// use it has now.
type ShareRequest struct {
	Router api.NodeID `json:"router"`
	Key    api.RowKey `json:"key"`
	Want   int        `json:"want"`
	InUse  int        `json:"in_use"`
	Rate   float64    `json:"rate"` // requests a second that arrive
}
