package api

import (
	"cmp"
	"fmt"
	"time"
)

// TableDelta carries what changed in the table after the revision After up to
// Revision.
type TableDelta struct {
	After    int64          `json:"after,omitempty"`
	Revision int64          `json:"revision"` // newest that the sender has in force
	Rows     []VersionedRow `json:"rows"`
	// Full: Rows is the whole table at Revision; a row that is missing is not
	// in the table any more.
	Full bool `json:"full,omitempty"`
}

// RowChange names the cells that an edit sets; nil cells stay as they are.
type RowChange struct {
	Weight             *float64 `json:"weight,omitempty"`
	BatchAllowance     *int     `json:"batch_allowance,omitempty"`
	CeilingConcurrency *int     `json:"ceiling_concurrency,omitempty"`
	CeilingRate        *float64 `json:"ceiling_rate,omitempty"`
	Priority           *int     `json:"priority,omitempty"`
	Repeatable         *bool    `json:"repeatable,omitempty"`
}

// Apply gives the row with the named cells set.
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

// Overlaps tells whether two rows differ in a cell that the change names.
func (c RowChange) Overlaps(a, b Row) bool {
	differs := func(named bool, order int) bool { return named && order != 0 }
	return differs(c.Weight != nil, cmp.Compare(a.Weight, b.Weight)) ||
		differs(c.BatchAllowance != nil, cmp.Compare(a.BatchAllowance, b.BatchAllowance)) ||
		differs(c.CeilingConcurrency != nil, cmp.Compare(a.CeilingConcurrency, b.CeilingConcurrency)) ||
		differs(c.CeilingRate != nil, cmp.Compare(a.CeilingRate, b.CeilingRate)) ||
		differs(c.Priority != nil, cmp.Compare(a.Priority, b.Priority)) ||
		(c.Repeatable != nil && a.Repeatable != b.Repeatable)
}

// TableEdit asks for one row to be changed.
type TableEdit struct {
	// ID names the edit for ever; a resend with the same ID takes effect once.
	ID  string `json:"id"`
	Key RowKey `json:"key"`
	// Change sets cells of the row; Delete takes the row out instead.
	Change RowChange `json:"change"`
	Delete bool      `json:"delete,omitempty"`
	// Create allows a row that is not in the table yet.
	Create bool `json:"create,omitempty"`
	// ExpectRevision, when positive, is the revision that the row must have;
	// otherwise it is read first, and edits of other cells meanwhile are kept.
	ExpectRevision int64 `json:"expect_revision,omitempty"`
	// Since, when positive, says that the answer to an earlier send with this ID
	// was lost, and that the table was at Since or later before that send.
	Since int64  `json:"since,omitempty"`
	By    string `json:"by,omitempty"` // who asks, for the history
}

// Validate names the first field that is not as it must be; cells are checked
// on the row that the edit makes.
func (e TableEdit) Validate() error {
	if e.ID == "" || len(e.ID) > maximumEditIDBytes {
		return fmt.Errorf("id of the edit must have 1 to %d bytes", maximumEditIDBytes)
	}
	if len(e.By) > maximumEditIDBytes {
		return fmt.Errorf("by must have at most %d bytes", maximumEditIDBytes)
	}
	if err := ValidateName("service", string(e.Key.Service)); err != nil {
		return err
	}
	return ValidateName("place", string(e.Key.Place))
}

// EditOutcome tells what became of an edit.
type EditOutcome string

// The outcomes of an edit.
const (
	EditAccepted EditOutcome = "accepted" // took effect at Revision
	EditConflict EditOutcome = "conflict" // had and will have no effect; Standing is another's value
	EditRefused  EditOutcome = "refused"  // had and will have no effect; Message says why
	EditUnknown  EditOutcome = "unknown"  // may or may not take effect; send it again with the same ID
)

// EditResult answers a TableEdit.
type EditResult struct {
	ID       string        `json:"id"`
	Outcome  EditOutcome   `json:"outcome"`
	Revision int64         `json:"revision,omitempty"` // at which it took effect
	Standing *VersionedRow `json:"standing,omitempty"` // the row that stands, if known
	Message  string        `json:"message,omitempty"`
}

// EditRecord is one past edit of a row, as the row itself keeps it.
type EditRecord struct {
	ID       string    `json:"id"`
	Key      RowKey    `json:"key"`
	Revision int64     `json:"revision"` // at which it took effect
	Time     time.Time `json:"time"`     // of the router that wrote it
	By       string    `json:"by,omitempty"`
	Before   *Row      `json:"before,omitempty"` // nil: the row was new
	After    *Row      `json:"after,omitempty"`  // nil: the row was deleted
}
