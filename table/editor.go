package table

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
)

// EditorMessage is what an Editor is stepped with.
type EditorMessage interface{ editorMessage() }

// Begin starts the edit; once.
type Begin struct{}

// StoredPair is a row's key as the key-value service holds it. Revision 0: the
// key is absent.
type StoredPair struct {
	Value    []byte
	Revision int64
}

// ReadDone answers ReadRow.
type ReadDone struct {
	Pair     StoredPair
	Revision int64 // of the service
	Err      error
}

// SwapDone answers SwapRow. Unknown: the swap may or may not take effect, now
// or later. Err without Unknown: it certainly did not and will not.
type SwapDone struct {
	Succeeded bool
	Revision  int64 // of the service after the call
	Standing  StoredPair
	Unknown   bool
	Err       error
}

// GiveUp ends the edit with what is known.
type GiveUp struct{ Reason string }

func (Begin) editorMessage()    {}
func (ReadDone) editorMessage() {}
func (SwapDone) editorMessage() {}
func (GiveUp) editorMessage()   {}

// EditorAction is what an Editor asks for; one is outstanding at a time.
type EditorAction interface{ editorAction() }

// ReadRow reads the row's key after the delay.
type ReadRow struct{ Delay time.Duration }

// SwapRow writes Value if the key's revision is still Expected (0: absent).
type SwapRow struct {
	Expected int64
	Value    []byte
}

// Finished ends the edit.
type Finished struct{ Result api.EditResult }

func (ReadRow) editorAction()  {}
func (SwapRow) editorAction()  {}
func (Finished) editorAction() {}

// Bounds of an Editor's work.
const (
	maximumSwaps    = 12
	firstRetryDelay = 50 * time.Millisecond
	lastRetryDelay  = 2 * time.Second
)

// Editor carries one edit through. Why its answer is never wrong:
//   - accepted is said only after a swap was answered as done, or the row's own
//     record of edits, written in the same swap, names the edit;
//   - conflict and refused are said only when no swap is open: each was answered
//     as not done, or its expected revision has been overtaken by another edit
//     while the record shows that this one is not among those since;
//   - all else is unknown. Sending the edit again with the same ID then settles
//     it, because an edit that is found in the record is not written again.
type Editor struct {
	edit     api.TableEdit
	inForce  int64 // the table's revision at this node
	base     StoredPair
	row      storedRow      // of base; zero when absent
	open     map[int64]bool // expected revisions of swaps whose outcome is not known
	inFlight bool           // a swap has no answer yet
	swaps    int
	delay    time.Duration
	finished bool
	fault    fault
}

const faultAcceptLost fault = "editor-reports-accepted-on-lost"

// NewEditor prepares an edit at a node whose table in force has the revision.
func NewEditor(edit api.TableEdit, inForce int64) *Editor {
	return &Editor{edit: edit, inForce: inForce, open: map[int64]bool{}, delay: firstRetryDelay}
}

// Step takes one message.
func (e *Editor) Step(now time.Time, message EditorMessage) []EditorAction {
	if e.finished {
		return nil
	}
	switch message := message.(type) {
	case Begin:
		return []EditorAction{ReadRow{}}
	case ReadDone:
		return e.read(now, message)
	case SwapDone:
		return e.swapped(now, message)
	case GiveUp:
		return e.giveUp(message.Reason)
	}
	return nil
}

func (e *Editor) read(now time.Time, done ReadDone) []EditorAction {
	if done.Err != nil {
		return e.retryRead()
	}
	if done.Revision < e.inForce && done.Revision > 0 {
		return e.refuse(fmt.Sprintf(
			"the key-value service is at revision %d, behind %d of the table in force: it was restored or is not the same one",
			done.Revision, e.inForce))
	}
	return e.settle(now, done.Pair)
}

// settle decides from the row that stands.
func (e *Editor) settle(now time.Time, pair StoredPair) []EditorAction {
	row, err := decodeBase(pair)
	if err != nil {
		return e.refuse(fmt.Sprintf("the row's value can't be read (%v); delete its key first", err))
	}
	if revision, ok := row.find(e.edit.ID, pair.Revision); ok {
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: revision, Standing: standing(row, pair)})
	}
	if e.mayBeForgotten(row, pair) {
		return e.unknown("the row was edited so often that its record may no longer show this edit", row, pair)
	}
	// An open swap that expected another revision can't take effect any more,
	// and the record shows that it did not. One that expects the same revision
	// as now is settled by writing again with the same ID.
	for expected := range e.open {
		if expected != pair.Revision {
			delete(e.open, expected)
		}
	}
	if refusal := e.conflicts(row, pair); refusal != nil {
		return refusal
	}
	e.base, e.row = pair, row
	return e.swap(now)
}

// mayBeForgotten is true when the edit may have taken effect and no longer be
// in the record: what took effect up to the revision that the record begins
// after is not shown by it.
func (e *Editor) mayBeForgotten(row storedRow, pair StoredPair) bool {
	unseen := pair.Revision
	if len(row.Records) > 0 {
		unseen = row.Records[0].Previous
	}
	if e.edit.Since > 0 && unseen > e.edit.Since {
		return true
	}
	for expected := range e.open {
		if expected != pair.Revision && (unseen > expected || pair.Revision == 0) {
			return true
		}
	}
	return false
}

// conflicts refuses the edit when the row that stands rules it out.
func (e *Editor) conflicts(row storedRow, pair StoredPair) []EditorAction {
	exists := pair.Revision > 0 && !row.Deleted
	switch {
	case e.edit.ExpectRevision > 0 && pair.Revision != e.edit.ExpectRevision:
		return e.conflict(row, pair, fmt.Sprintf("the row is at revision %d, not %d", pair.Revision, e.edit.ExpectRevision))
	case !exists && e.edit.Delete:
		return e.refuse("there is no such row")
	case !exists && !e.edit.Create:
		return e.refuse("there is no such row; say that it is to be created")
	}
	if e.swaps == 0 {
		return nil
	}
	// Another edit came in between. Other cells are kept; the same ones are a
	// conflict.
	switch {
	case exists != e.existed():
		return e.conflict(row, pair, "another edit created or deleted the row")
	case e.edit.Delete && pair.Revision != e.base.Revision:
		return e.conflict(row, pair, "another edit changed the row")
	case exists && e.edit.Change.Overlaps(e.row.Row, row.Row):
		return e.conflict(row, pair, "another edit changed the same cells")
	}
	return nil
}

func (e *Editor) existed() bool { return e.base.Revision > 0 && !e.row.Deleted }

func (e *Editor) swap(now time.Time) []EditorAction {
	if e.swaps >= maximumSwaps {
		return e.giveUp("the row changes too often")
	}
	value, err := e.value(now)
	if err != nil {
		return e.refuse(err.Error())
	}
	e.swaps++
	e.inFlight = true
	return []EditorAction{SwapRow{Expected: e.base.Revision, Value: value}}
}

// value gives what the edit makes of the base row.
func (e *Editor) value(now time.Time) ([]byte, error) {
	record := storedRecord{ID: e.edit.ID, Time: now.UTC(), By: e.edit.By, Previous: e.base.Revision}
	next := e.row
	next.Row.Service, next.Row.Place = e.edit.Key.Service, e.edit.Key.Place
	if e.existed() {
		before := e.row.Row
		record.Before = &before
	} else {
		next.Row = api.Row{Service: e.edit.Key.Service, Place: e.edit.Key.Place}
	}
	next.EditID, next.Deleted = e.edit.ID, e.edit.Delete
	if !e.edit.Delete {
		next.Row = e.edit.Change.Apply(next.Row)
		if err := next.Row.Validate(); err != nil {
			return nil, err
		}
		after := next.Row
		record.After = &after
	}
	return json.Marshal(next.with(record))
}

func (e *Editor) swapped(now time.Time, done SwapDone) []EditorAction {
	e.inFlight = false
	if done.Unknown {
		e.open[e.base.Revision] = true
	}
	switch {
	case done.Unknown && e.fault == faultAcceptLost:
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: e.base.Revision + 1})
	case done.Unknown, done.Err != nil:
		return e.retryRead()
	case done.Succeeded:
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: done.Revision})
	}
	return e.settle(now, done.Standing)
}

func (e *Editor) retryRead() []EditorAction {
	delay := e.delay
	e.delay = min(2*e.delay, lastRetryDelay)
	return []EditorAction{ReadRow{Delay: delay}}
}

func (e *Editor) giveUp(reason string) []EditorAction {
	if e.edit.Since > 0 {
		return e.finish(api.EditResult{Outcome: api.EditUnknown, Message: reason})
	}
	return e.refuse(reason)
}

func (e *Editor) unknown(reason string, row storedRow, pair StoredPair) []EditorAction {
	return e.finish(api.EditResult{Outcome: api.EditUnknown, Standing: standing(row, pair), Message: reason})
}

// refuse ends an edit that has no open swap. With one open the outcome is not
// known, whatever the reason.
func (e *Editor) refuse(reason string) []EditorAction {
	outcome := api.EditRefused
	if e.unsettled() {
		outcome = api.EditUnknown
	}
	return e.finish(api.EditResult{Outcome: outcome, Message: reason})
}

func (e *Editor) unsettled() bool { return e.inFlight || len(e.open) > 0 }

func (e *Editor) conflict(row storedRow, pair StoredPair, reason string) []EditorAction {
	outcome := api.EditConflict
	if e.unsettled() {
		outcome = api.EditUnknown
	}
	return e.finish(api.EditResult{Outcome: outcome, Standing: standing(row, pair), Message: reason})
}

func (e *Editor) finish(result api.EditResult) []EditorAction {
	e.finished = true
	result.ID = e.edit.ID
	return []EditorAction{Finished{Result: result}}
}

func decodeBase(pair StoredPair) (storedRow, error) {
	if pair.Revision == 0 {
		return storedRow{}, nil
	}
	return decodeStored(pair.Value)
}

func standing(row storedRow, pair StoredPair) *api.VersionedRow {
	if pair.Revision == 0 {
		return nil
	}
	versioned := row.versioned(pair.Revision)
	return &versioned
}

// find gives the revision at which the edit took effect, if the row shows it.
func (s storedRow) find(id string, revision int64) (int64, bool) {
	for _, record := range s.history(revision) {
		if record.ID == id {
			return record.Revision, true
		}
	}
	return revision, revision > 0 && s.EditID == id
}
