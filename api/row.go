package api

import (
	"fmt"
	"math"
	"regexp"
)

// Limits of a row's cells, checked by Row.Validate.
const (
	MaxWeight       = 1e6
	MaxSlots        = 1_000_000 // allowance and concurrency ceiling
	MaxRate         = 1e7       // requests per second
	MaxPriority     = 100
	maxNameLength   = 128
	namePatternText = `^[A-Za-z0-9][A-Za-z0-9._-]*$`
	maxEditIDBytes  = 128
)

var namePattern = regexp.MustCompile(namePatternText)

// Row is one row of the operators' table: the policy for a service in a place.
type Row struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
	// Weight is the row's share of the service's online traffic relative to the other
	// rows of the service; 0 drains the place.
	Weight float64 `json:"weight"`
	// BatchAllowance is the maximum of concurrent batch requests; 0 means none.
	BatchAllowance int `json:"batch_allowance"`
	// CeilingConcurrency limits concurrent requests of both classes; 0 means no limit.
	CeilingConcurrency int `json:"ceiling_concurrency"`
	// CeilingRate limits admitted requests per second of both classes; 0 means no
	// limit.
	CeilingRate float64 `json:"ceiling_rate"`
	// Priority is passed to the engine with online requests; higher goes first.
	Priority int `json:"priority"`
	// Repeatable is the default for requests that do not state whether they may be
	// executed more than once.
	Repeatable bool `json:"repeatable"`
}

// Key returns the row's key.
func (r Row) Key() RowKey { return RowKey{Service: r.Service, Place: r.Place} }

// Validate returns an error that names the first invalid cell.
func (r Row) Validate() error {
	if err := ValidateName("service", string(r.Service)); err != nil {
		return err
	}
	if err := ValidateName("place", string(r.Place)); err != nil {
		return err
	}
	if math.IsNaN(r.Weight) || r.Weight < 0 || r.Weight > MaxWeight {
		return fmt.Errorf("cell weight of %s: %v is not within 0 to %v", r.Key(), r.Weight, float64(MaxWeight))
	}
	if r.BatchAllowance < 0 || r.BatchAllowance > MaxSlots {
		return fmt.Errorf("cell batch_allowance of %s: %d is not within 0 to %d", r.Key(), r.BatchAllowance, MaxSlots)
	}
	if r.CeilingConcurrency < 0 || r.CeilingConcurrency > MaxSlots {
		return fmt.Errorf("cell ceiling_concurrency of %s: %d is not within 0 to %d", r.Key(), r.CeilingConcurrency, MaxSlots)
	}
	if math.IsNaN(r.CeilingRate) || r.CeilingRate < 0 || r.CeilingRate > MaxRate {
		return fmt.Errorf("cell ceiling_rate of %s: %v is not within 0 to %v", r.Key(), r.CeilingRate, float64(MaxRate))
	}
	if r.Priority < 0 || r.Priority > MaxPriority {
		return fmt.Errorf("cell priority of %s: %d is not within 0 to %d", r.Key(), r.Priority, MaxPriority)
	}
	return nil
}

// ValidateName checks a service or place name: letters, digits, dots, dashes and
// underscores, beginning with a letter or digit, at most 128 bytes. Errors begin with
// what.
func ValidateName(what, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s %q is not a name (%s, at most %d bytes)", what, name, namePatternText, maxNameLength)
	}
	return nil
}

// VersionedRow is a row as stored in the key-value service.
type VersionedRow struct {
	Row Row `json:"row"`
	// Revision is the key's modification revision; the highest one wins.
	Revision int64 `json:"revision"`
	// EditID identifies the edit that wrote the row, so that an edit whose reply was
	// lost can be recognised.
	EditID string `json:"edit_id"`
	// Deleted marks a tombstone, which keeps an old row from reappearing.
	Deleted bool `json:"deleted,omitempty"`
}
