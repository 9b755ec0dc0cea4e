package api

import (
	"fmt"
	"math"
	"regexp"
)

// Limits of a row's cells, checked by Row.Validate.
const (
	MaximumWeight      = 1e6
	MaximumSlots       = 1_000_000 // allowance and concurrency ceiling
	MaximumRate        = 1e7       // requests a second
	MaximumPriority    = 100
	maximumNameLength  = 128
	namePatternText    = `^[A-Za-z0-9][A-Za-z0-9._-]*$`
	maximumEditIDBytes = 128
)

var namePattern = regexp.MustCompile(namePatternText)

// Row is one row of the operators' table: a service in a place.
type Row struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
	// Weight is the row's share of the service's online traffic, relative to
	// the other rows of the service. 0 sends nothing and drains the place.
	Weight float64 `json:"weight"`
	// BatchAllowance is how many batch requests may run at once; 0 is none.
	BatchAllowance int `json:"batch_allowance"`
	// CeilingConcurrency bounds requests at once, both classes; 0 is no bound.
	CeilingConcurrency int `json:"ceiling_concurrency"`
	// CeilingRate bounds admitted requests a second, both classes; 0 is no bound.
	CeilingRate float64 `json:"ceiling_rate"`
	// Priority is passed to the engine for online requests; higher goes first.
	Priority int `json:"priority"`
	// Repeatable is the default for requests that do not say.
	Repeatable bool `json:"repeatable"`
}

// Key names the row.
func (r Row) Key() RowKey { return RowKey{Service: r.Service, Place: r.Place} }

// Validate names the first cell that is out of range.
func (r Row) Validate() error {
	if err := ValidateName("service", string(r.Service)); err != nil {
		return err
	}
	if err := ValidateName("place", string(r.Place)); err != nil {
		return err
	}
	if math.IsNaN(r.Weight) || r.Weight < 0 || r.Weight > MaximumWeight {
		return fmt.Errorf("cell weight of %s: %v is not within 0 to %v", r.Key(), r.Weight, float64(MaximumWeight))
	}
	if r.BatchAllowance < 0 || r.BatchAllowance > MaximumSlots {
		return fmt.Errorf("cell batch_allowance of %s: %d is not within 0 to %d", r.Key(), r.BatchAllowance, MaximumSlots)
	}
	if r.CeilingConcurrency < 0 || r.CeilingConcurrency > MaximumSlots {
		return fmt.Errorf("cell ceiling_concurrency of %s: %d is not within 0 to %d", r.Key(), r.CeilingConcurrency, MaximumSlots)
	}
	if math.IsNaN(r.CeilingRate) || r.CeilingRate < 0 || r.CeilingRate > MaximumRate {
		return fmt.Errorf("cell ceiling_rate of %s: %v is not within 0 to %v", r.Key(), r.CeilingRate, float64(MaximumRate))
	}
	if r.Priority < 0 || r.Priority > MaximumPriority {
		return fmt.Errorf("cell priority of %s: %d is not within 0 to %d", r.Key(), r.Priority, MaximumPriority)
	}
	return nil
}

// ValidateName checks a service or place name: letters, digits, dot, dash and
// underscore, at most 128 bytes.
func ValidateName(what, name string) error {
	if len(name) > maximumNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s %q is not a name (%s, at most %d bytes)", what, name, namePatternText, maximumNameLength)
	}
	return nil
}

// VersionedRow is a row as the key-value service holds it.
type VersionedRow struct {
	Row Row `json:"row"`
	// Revision is the key's modification revision; a newer one always wins.
	Revision int64 `json:"revision"`
	// EditID names the edit that wrote it, so that an edit whose answer was
	// lost can be recognised.
	EditID string `json:"edit_id"`
	// Deleted marks a tombstone that keeps an old row from coming back.
	Deleted bool `json:"deleted,omitempty"`
}
