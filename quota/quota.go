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
	"fmt"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings are the same at all owners and holders.
type Settings struct {
	// Lifetime is how long a share lasts from when its request was sent.
	Lifetime time.Duration
	// Margin is what an owner waits beyond Lifetime: the drift of clock rates.
	Margin time.Duration
	// Interval is the time between a holder's reports in steady use, and
	// ShortInterval the least time between two when a share is too small, or much
	// larger than what is needed any more.
	Interval      time.Duration
	ShortInterval time.Duration
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
		Lifetime: 5 * time.Second, Margin: 500 * time.Millisecond,
		Interval: 2 * time.Second, ShortInterval: 300 * time.Millisecond,
		IdleAfter: time.Minute, MaximumRun: 10 * time.Minute,
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

// Key is a row's key that is service/place in JSON: these messages are the most
// frequent ones that name rows.
type Key api.RowKey

// MarshalText gives service/place.
func (k Key) MarshalText() ([]byte, error) { return []byte(api.RowKey(k).String()), nil }

// UnmarshalText reads service/place.
func (k *Key) UnmarshalText(text []byte) error {
	service, place, ok := strings.Cut(string(text), "/")
	if !ok {
		return fmt.Errorf("row %q is not service/place", text)
	}
	*k = Key{Service: api.ServiceName(service), Place: api.PlaceName(place)}
	return nil
}

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
	Key    Key `json:"k"`
	Want   int `json:"w,omitempty"` // requests at once that it could use
	InUse  int `json:"u,omitempty"` // requests that run now
	Tokens int `json:"t,omitempty"` // admissions wanted under the rate
	// Ended: as in the report, with those that a newer grant has replaced.
	Ended uint64 `json:"d,omitempty"`
	// Share is the concurrency that is held now; it answered Ended+1.
	Share int `json:"s,omitempty"`
}

// Grant answers a Report. Shares are those of the report's rows, in the same
// order; without any, all that the holder has stays as it is.
type Grant struct {
	Epoch    uint64  `json:"epoch"`    // the owner's term
	Instance uint64  `json:"instance"` // of the report
	Sequence uint64  `json:"sequence"` // of the report
	Shares   []Share `json:"shares,omitempty"`
}

// Share is a part of a row's ceiling, granted to one router until it expires.
type Share struct {
	Concurrency int `json:"c,omitempty"`
	Tokens      int `json:"t,omitempty"` // admissions added under the rate
	// Unknown: the owner's table has no ceiling for the row (yet); nothing is
	// granted and nothing is taken away.
	Unknown bool `json:"n,omitempty"`
}

// maximumRows bounds a report.
const maximumRows = 10_000

// Validate refuses a report that no holder makes; owners are stepped only with
// valid ones.
func (r Report) Validate() error {
	if r.Router == "" || len(r.Rows) > maximumRows {
		return fmt.Errorf("report of router %q with %d rows", r.Router, len(r.Rows))
	}
	seen := make(map[Key]bool, len(r.Rows))
	for _, row := range r.Rows {
		if seen[row.Key] {
			return fmt.Errorf("row %s stands twice", api.RowKey(row.Key))
		}
		seen[row.Key] = true
		if min(row.Want, row.InUse, row.Tokens, row.Share) < 0 || max(row.Want, row.InUse, row.Tokens, row.Share) > api.MaximumSlots {
			return fmt.Errorf("row %s: a number is out of range", api.RowKey(row.Key))
		}
	}
	return nil
}
