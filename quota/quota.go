// Package quota enforces the ceilings of the table's rows across all routers. An
// Owner, one per store group, grants shares of the ceilings as leases that expire; a
// Holder, one per router, admits requests only within the shares that it holds.
//
// Invariants:
//   - the requests in flight at all holders together never exceed the concurrency
//     ceiling of a row, also while owners change, pause or are partitioned;
//   - the requests admitted in any window w are at most rate × (w + TTL of a share)
//     plus one burst.
//
// They rely on a quorum and on clocks whose rates differ by at most the drift margin
// per share TTL; absolute clock readings do not matter.
package quota

import (
	"fmt"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings have to be the same at all owners and holders.
type Settings struct {
	// ShareTTL is the TTL of a share, counted from when its report was sent.
	ShareTTL time.Duration
	// DriftMargin is how much longer an owner waits for a share to expire, to allow for clock
	// drift.
	DriftMargin time.Duration
	// ReportInterval is the time between a holder's reports under steady demand, and
	// MinReportInterval the minimum while a share is too small or much larger than needed.
	ReportInterval    time.Duration
	MinReportInterval time.Duration
	// IdleTimeout is how long after its last request a row still requests a share of one,
	// so that infrequent requests are admitted at once.
	IdleTimeout time.Duration
	// MaxRunTime is the longest run of a request, which the holder enforces. Requests of
	// an unresponsive holder count at most this long beyond the expiry of its share.
	MaxRunTime time.Duration
	// Fault is injected by tests.
	Fault Fault
}

// DefaultSettings returns settings that reassign unused shares within a second.
func DefaultSettings() Settings {
	return Settings{
		ShareTTL: 5 * time.Second, DriftMargin: 500 * time.Millisecond,
		ReportInterval: 2 * time.Second, MinReportInterval: 300 * time.Millisecond,
		IdleTimeout: time.Minute, MaxRunTime: 10 * time.Minute,
	}
}

// Fault is a defect that tests inject to show that their checks can fail.
type Fault string

// Faults that tests inject.
const (
	FaultNone              Fault = ""
	FaultNoConfirm         Fault = "grant-without-confirm"
	FaultNoWait            Fault = "new-owner-does-not-wait"
	FaultExpireFromReceipt Fault = "expire-from-receipt"
	FaultForgetInUse       Fault = "forget-in-use"
	FaultForgetHolders     Fault = "forget-holders"
)

// Ceiling is the limit of a row over all routers; a zero field is no limit.
type Ceiling struct {
	Concurrency int
	Rate        float64 // requests per second
}

// CeilingOf returns the ceiling of a row of the table.
func CeilingOf(row api.Row) Ceiling {
	return Ceiling{Concurrency: row.CeilingConcurrency, Rate: row.CeilingRate}
}

// Bounded reports whether any limit is set.
func (c Ceiling) Bounded() bool { return c.Concurrency > 0 || c.Rate > 0 }

// Key is the key of a row, encoded in JSON as the compact text service/place.
type Key api.RowKey

// MarshalText encodes the key as service/place.
func (k Key) MarshalText() ([]byte, error) { return []byte(api.RowKey(k).String()), nil }

// UnmarshalText decodes service/place.
func (k *Key) UnmarshalText(text []byte) error {
	service, place, ok := strings.Cut(string(text), "/")
	if !ok {
		return fmt.Errorf("row %q is not service/place", text)
	}
	*k = Key{Service: api.ServiceName(service), Place: api.PlaceName(place)}
	return nil
}

// Report is a holder's report to the owner of a group about the group's rows with a
// ceiling. A row that is not included has no requests in flight.
type Report struct {
	Router   api.NodeID `json:"router"`
	Instance uint64     `json:"instance"` // grows with each start of the router
	Sequence uint64     `json:"sequence"` // grows with each report
	// Ended is the last sequence whose grant would arrive expired, for every row.
	Ended uint64 `json:"ended,omitempty"`
	// Epoch is the newest epoch of the group that the holder has seen; it applies no
	// grant of an older one.
	Epoch uint64      `json:"epoch,omitempty"`
	Rows  []RowReport `json:"rows,omitempty"`
}

// RowReport is a holder's use of one row and its demand.
type RowReport struct {
	Key      Key `json:"k"`
	Want     int `json:"w,omitempty"` // concurrent requests wanted
	InFlight int `json:"u,omitempty"` // requests in flight
	Tokens   int `json:"t,omitempty"` // admissions wanted under the rate
	// Ended is like that of the report, but also covers grants that a newer one has
	// replaced.
	Ended uint64 `json:"d,omitempty"`
	// Share is the concurrency held now, granted in response to sequence Ended+1.
	Share int `json:"s,omitempty"`
}

// Grant is the response to a Report. Shares are in the order of the report's rows; if
// there are none, the holder's shares do not change.
type Grant struct {
	Epoch    uint64  `json:"epoch"`    // term of the owner
	Instance uint64  `json:"instance"` // of the report
	Sequence uint64  `json:"sequence"` // of the report
	Shares   []Share `json:"shares,omitempty"`
}

// Share is the part of a row's ceiling that is leased to one router.
type Share struct {
	Concurrency int `json:"c,omitempty"`
	Tokens      int `json:"t,omitempty"` // admissions added under the rate
	// Unknown is set if the owner's table has no ceiling for the row yet; the holder's
	// share does not change.
	Unknown bool `json:"n,omitempty"`
}

// maxRows limits the rows of a report.
const maxRows = 10_000

// Validate checks the fields of a report. An Owner must be stepped only with valid
// reports.
func (r Report) Validate() error {
	if r.Router == "" || len(r.Rows) > maxRows {
		return fmt.Errorf("invalid report of router %q with %d rows", r.Router, len(r.Rows))
	}
	seen := make(map[Key]bool, len(r.Rows))
	for _, row := range r.Rows {
		if seen[row.Key] {
			return fmt.Errorf("row %s is listed twice", api.RowKey(row.Key))
		}
		seen[row.Key] = true
		if min(row.Want, row.InFlight, row.Tokens, row.Share) < 0 || max(row.Want, row.InFlight, row.Tokens, row.Share) > api.MaxSlots {
			return fmt.Errorf("row %s: value out of range", api.RowKey(row.Key))
		}
	}
	return nil
}
