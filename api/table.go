package api

import (
	"cmp"
	"fmt"
	"time"
)

// TableDelta holds the changes of the table in a range of revisions.
type TableDelta struct {
	After    int64          `json:"after,omitempty"` // exclusive start of the range
	Revision int64          `json:"revision"`        // inclusive end of the range: the sender's current revision
	Rows     []VersionedRow `json:"rows"`
	// Full is set if Rows is the whole table at Revision, so that missing rows have
	// been deleted.
	Full bool `json:"full,omitempty"`
}

// RowChange holds the cells that an edit sets; nil cells are left unchanged.
type RowChange struct {
	Weight             *float64 `json:"weight,omitempty"`
	BatchAllowance     *int     `json:"batch_allowance,omitempty"`
	CeilingConcurrency *int     `json:"ceiling_concurrency,omitempty"`
	CeilingRate        *float64 `json:"ceiling_rate,omitempty"`
	Priority           *int     `json:"priority,omitempty"`
	Repeatable         *bool    `json:"repeatable,omitempty"`
}

// Apply returns the row with the change's cells set.
func (c RowChange) Apply(row Row) Row {
	set(&row.Weight, c.Weight)
	set(&row.BatchAllowance, c.BatchAllowance)
	set(&row.CeilingConcurrency, c.CeilingConcurrency)
	set(&row.CeilingRate, c.CeilingRate)
	set(&row.Priority, c.Priority)
	set(&row.Repeatable, c.Repeatable)
	return row
}

func set[T any](cell *T, value *T) {
	if value != nil {
		*cell = *value
	}
}

// Overlaps reports whether two rows differ in a cell that the change sets.
func (c RowChange) Overlaps(a, b Row) bool {
	differs := func(set bool, order int) bool { return set && order != 0 }
	return differs(c.Weight != nil, cmp.Compare(a.Weight, b.Weight)) ||
		differs(c.BatchAllowance != nil, cmp.Compare(a.BatchAllowance, b.BatchAllowance)) ||
		differs(c.CeilingConcurrency != nil, cmp.Compare(a.CeilingConcurrency, b.CeilingConcurrency)) ||
		differs(c.CeilingRate != nil, cmp.Compare(a.CeilingRate, b.CeilingRate)) ||
		differs(c.Priority != nil, cmp.Compare(a.Priority, b.Priority)) ||
		(c.Repeatable != nil && a.Repeatable != b.Repeatable)
}

// TableEdit requests a change of one row.
type TableEdit struct {
	// ID identifies the edit permanently; resending it with the same ID has no further
	// effect.
	ID  string `json:"id"`
	Key RowKey `json:"key"`
	// Change sets cells of the row; Delete deletes the row instead.
	Change RowChange `json:"change"`
	Delete bool      `json:"delete,omitempty"`
	// Create allows the edit to create the row.
	Create bool `json:"create,omitempty"`
	// ExpectedRevision, if positive, is the revision that the row must have. Otherwise
	// the row is read first, and concurrent edits of other cells are merged.
	ExpectedRevision int64 `json:"expect_revision,omitempty"`
	// SinceRevision, if positive, indicates a resend: the outcome of an earlier send with this
	// ID is unknown, and before that send the table was at this revision or later.
	SinceRevision int64  `json:"since,omitempty"`
	Author        string `json:"by,omitempty"` // author, for the history
}

// Validate returns an error that names the first invalid field. Cells are validated
// later, on the resulting row.
func (e TableEdit) Validate() error {
	if e.ID == "" || len(e.ID) > maxEditIDBytes {
		return fmt.Errorf("id of the edit must have 1 to %d bytes", maxEditIDBytes)
	}
	if len(e.Author) > maxEditIDBytes {
		return fmt.Errorf("by must have at most %d bytes", maxEditIDBytes)
	}
	if err := ValidateName("service", string(e.Key.Service)); err != nil {
		return err
	}
	return ValidateName("place", string(e.Key.Place))
}

// EditOutcome is the outcome of an edit.
type EditOutcome string

// Outcomes of an edit.
const (
	EditAccepted EditOutcome = "accepted" // took effect at Revision
	EditConflict EditOutcome = "conflict" // has no effect, now or later; the result holds the conflicting row
	EditRefused  EditOutcome = "refused"  // has no effect, now or later; Message is the reason
	EditUnknown  EditOutcome = "unknown"  // may or may not take effect; resend it with the same ID
)

// EditResult is the response to a TableEdit.
type EditResult struct {
	ID       string        `json:"id"`
	Outcome  EditOutcome   `json:"outcome"`
	Revision int64         `json:"revision,omitempty"` // at which the edit took effect
	Current  *VersionedRow `json:"standing,omitempty"` // the current row, if known
	Message  string        `json:"message,omitempty"`
}

// EditRecord is one past edit of a row, as stored with the row.
type EditRecord struct {
	ID       string    `json:"id"`
	Key      RowKey    `json:"key"`
	Revision int64     `json:"revision"` // at which the edit took effect
	Time     time.Time `json:"time"`     // by the clock of the router that wrote it
	Author   string    `json:"by,omitempty"`
	Before   *Row      `json:"before,omitempty"` // nil: the row was new
	After    *Row      `json:"after,omitempty"`  // nil: the row was deleted
}
