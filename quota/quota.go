// Package quota keeps the ceilings of the table's rows across all routers. An
// Owner, one for each store group, grants shares of the ceilings that expire; a
// Holder, one for each router, admits only within the shares that it holds.
//
// Invariants:
//   - the requests in use at all holders together never pass a row's ceiling of
//     concurrency, also while owners change, pause or are cut off;
//   - the requests admitted in any window w are at most rate × (w + Lifetime)
//     plus one burst.
//
// They rest on a quorum and on clocks that run at nearly the same rate (within
// Margin in one Lifetime); what the clocks show does not matter.
package quota

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings are the same at all owners and holders.
type Settings struct {
	// Lifetime is how long a share lasts from when its request was sent.
	Lifetime time.Duration
	// Margin is what an owner waits beyond Lifetime: the drift of clock rates.
	Margin time.Duration
	// Interval is the time between a holder's reports.
	Interval time.Duration
	// IdleAfter is how long after its last request a row at a holder still asks
	// for a share of one, so that rare requests find one.
	IdleAfter time.Duration
	// MaximumRun bounds a request: the holder cuts it after that time, so a
	// silent holder's requests count no longer than this beyond their share.
	MaximumRun time.Duration
	// Fault plants a defect, so that the checks can be shown to fail.
	Fault Fault
}

// DefaultSettings move unused shares within a second.
func DefaultSettings() Settings {
	return Settings{
		Lifetime: 3 * time.Second, Margin: 300 * time.Millisecond,
		Interval: 400 * time.Millisecond, IdleAfter: time.Minute, MaximumRun: 10 * time.Minute,
	}
}

// Fault is a planted defect; tests only.
type Fault string

// The planted defects.
const (
	FaultNone              Fault = ""
	FaultNoConfirm         Fault = "grant-without-confirm"
	FaultNoWait            Fault = "new-owner-does-not-wait"
	FaultExpireFromReceipt Fault = "expire-from-receipt"
	FaultForgetInUse       Fault = "forget-in-use"
	FaultForgetHolders     Fault = "forget-holders"
)

// Ceiling is a row's bound over all routers; 0 is no bound.
type Ceiling struct {
	Concurrency int
	Rate        float64 // requests a second
}

// CeilingOf reads the bound of a row.
func CeilingOf(row api.Row) Ceiling {
	return Ceiling{Concurrency: row.CeilingConcurrency, Rate: row.CeilingRate}
}

// Bounded is true when either bound is set.
func (c Ceiling) Bounded() bool { return c.Concurrency > 0 || c.Rate > 0 }

// Report is what a holder tells the owner of a group about all rows of the
// group that have a ceiling. A row that is not in it has nothing in use.
type Report struct {
	Router   api.NodeID `json:"router"`
	Instance uint64     `json:"instance"` // grows with each start of the router
	Sequence uint64     `json:"sequence"` // grows with each report
	// Ended: grants that answer this or an earlier sequence come too late to
	// allow anything, for any row.
	Ended uint64 `json:"ended,omitempty"`
	// Epoch is the newest that the holder has seen of the group; it applies no
	// grant of an older one.
	Epoch uint64      `json:"epoch,omitempty"`
	Rows  []RowReport `json:"rows,omitempty"`
}

// RowReport is a holder's need of one row.
type RowReport struct {
	Key    api.RowKey `json:"key"`
	Want   int        `json:"want,omitempty"`   // requests at once that it could use
	InUse  int        `json:"in_use,omitempty"` // requests that run now
	Tokens int        `json:"tokens,omitempty"` // admissions wanted under the rate
	// Ended: as in the report, with those that a newer grant has replaced.
	Ended uint64 `json:"ended,omitempty"`
	// Epoch of the share that is valid now; 0 is none.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Grant answers a Report.
type Grant struct {
	Epoch    uint64  `json:"epoch"`    // the owner's term
	Instance uint64  `json:"instance"` // of the report
	Sequence uint64  `json:"sequence"` // of the report
	Shares   []Share `json:"shares,omitempty"`
}

// Share is a part of a row's ceiling, granted to one router until it expires.
type Share struct {
	Key         api.RowKey `json:"key"`
	Concurrency int        `json:"concurrency,omitempty"`
	Tokens      int        `json:"tokens,omitempty"` // admissions added under the rate
}
