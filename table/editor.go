package table

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
)

// EditorMessage is an input of Editor.Step.
type EditorMessage interface{ editorMessage() }

// Start starts the edit. It is sent once.
type Start struct{}

// KeyValue is the value and revision of a row's key in the key-value service. Revision
// is 0 if the key is absent.
type KeyValue struct {
	Value    []byte
	Revision int64
}

// ReadDone is the result of ReadRow.
type ReadDone struct {
	Pair     KeyValue
	Revision int64 // of the key-value service
	Err      error
}

// SwapDone is the result of SwapRow. If Unknown is set, the swap may or may not take
// effect, now or later. Err without Unknown means that it did not and will not.
type SwapDone struct {
	Succeeded bool
	Revision  int64    // of the key-value service after the call
	Current   KeyValue // the key's current value, if the swap failed
	Unknown   bool
	Err       error
}

// Abort aborts the edit, for example on a timeout.
type Abort struct{ Reason string }

func (Start) editorMessage()    {}
func (ReadDone) editorMessage() {}
func (SwapDone) editorMessage() {}
func (Abort) editorMessage()    {}

// EditorAction is an output of Editor.Step; at most one is outstanding.
type EditorAction interface{ editorAction() }

// ReadRow reads the row's key after the delay.
type ReadRow struct{ Delay time.Duration }

// SwapRow writes Value if the key's revision is still Expected; 0 means absent.
type SwapRow struct {
	Expected int64
	Value    []byte
}

// Finished ends the edit.
type Finished struct{ Result api.EditResult }

func (ReadRow) editorAction()  {}
func (SwapRow) editorAction()  {}
func (Finished) editorAction() {}

const (
	maxSwaps      = 12
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Editor is the state machine of one edit, applied with compare-and-swap. Its outcomes
// are reliable even if replies are lost:
//   - accepted is reported only after a swap succeeded or the row's records, written in
//     the same swap, contain the edit;
//   - conflict and refused are reported only if no swap is unresolved: each failed, or the
//     key has moved past its expected revision and the records since do not contain the
//     edit;
//   - anything else is reported as unknown. Resending the edit with the same ID then
//     resolves it, because an edit found in the records is not written again.
//
// An Editor is not safe for concurrent use.
type Editor struct {
	edit          api.TableEdit
	localRevision int64 // the table's revision at this node
	base          KeyValue
	row           storedRow      // decoded from base; zero if absent
	unresolved    map[int64]bool // expected revisions of swaps with unknown outcome
	inFlight      bool           // a swap is outstanding
	swaps         int
	delay         time.Duration
	finished      bool
	fault         fault
}

const faultAcceptUnknown fault = "editor-reports-accepted-on-lost"

// NewEditor returns an Editor for an edit at a node whose current table has the revision
// localRevision.
func NewEditor(edit api.TableEdit, localRevision int64) *Editor {
	return &Editor{edit: edit, localRevision: localRevision, unresolved: map[int64]bool{}, delay: minRetryDelay}
}

// Step processes one message. After Finished it returns no more actions.
func (e *Editor) Step(now time.Time, message EditorMessage) []EditorAction {
	if e.finished {
		return nil
	}
	switch message := message.(type) {
	case Start:
		return []EditorAction{ReadRow{}}
	case ReadDone:
		return e.read(now, message)
	case SwapDone:
		return e.swapped(now, message)
	case Abort:
		return e.abort(message.Reason)
	}
	return nil
}

func (e *Editor) read(now time.Time, done ReadDone) []EditorAction {
	if done.Err != nil {
		return e.retryRead()
	}
	if done.Revision < e.localRevision && done.Revision > 0 {
		return e.refuse(fmt.Sprintf(
			"the key-value service is at revision %d, behind %d of the table in force: it was restored or is not the same one",
			done.Revision, e.localRevision))
	}
	return e.resolve(now, done.Pair)
}

// resolve decides the next step from the current value of the key.
func (e *Editor) resolve(now time.Time, pair KeyValue) []EditorAction {
	row, err := decodeBase(pair)
	if err != nil {
		return e.refuse(fmt.Sprintf("the row's value can't be read (%v); delete its key first", err))
	}
	if revision, ok := row.findEdit(e.edit.ID, pair.Revision); ok {
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: revision, Current: currentRow(row, pair)})
	}
	if e.recordMayBeTruncated(row, pair) {
		return e.unknown("the row was edited so often that its record may no longer show this edit", row, pair)
	}
	// An unresolved swap that expected another revision can no longer take effect,
	// and the records show that it did not. One that expects the current revision is
	// resolved by writing again with the same ID.
	for expected := range e.unresolved {
		if expected != pair.Revision {
			delete(e.unresolved, expected)
		}
	}
	if refusal := e.checkConflict(row, pair); refusal != nil {
		return refusal
	}
	e.base, e.row = pair, row
	return e.swap(now)
}

// recordMayBeTruncated reports whether the edit may have taken effect and since been
// dropped from the row's records, which cover only edits after the first one's Previous.
func (e *Editor) recordMayBeTruncated(row storedRow, pair KeyValue) bool {
	truncatedAt := pair.Revision
	if len(row.Records) > 0 {
		truncatedAt = row.Records[0].Previous
	}
	if e.edit.SinceRevision > 0 && truncatedAt > e.edit.SinceRevision {
		return true
	}
	for expected := range e.unresolved {
		if expected != pair.Revision && (truncatedAt > expected || pair.Revision == 0) {
			return true
		}
	}
	return false
}

// checkConflict ends the edit if the current row rules it out; it returns nil otherwise.
func (e *Editor) checkConflict(row storedRow, pair KeyValue) []EditorAction {
	exists := pair.Revision > 0 && !row.Deleted
	switch {
	case e.edit.ExpectedRevision > 0 && pair.Revision != e.edit.ExpectedRevision:
		return e.conflict(row, pair, fmt.Sprintf("the row is at revision %d, not %d", pair.Revision, e.edit.ExpectedRevision))
	case !exists && e.edit.Delete:
		return e.refuse("there is no such row")
	case !exists && !e.edit.Create:
		return e.refuse("there is no such row; say that it is to be created")
	}
	if e.swaps == 0 {
		return nil
	}
	// A concurrent edit changed the row. Edits of different cells are merged; edits of
	// the same cells conflict.
	switch {
	case exists != e.baseExists():
		return e.conflict(row, pair, "another edit created or deleted the row")
	case e.edit.Delete && pair.Revision != e.base.Revision:
		return e.conflict(row, pair, "another edit changed the row")
	case exists && e.edit.Change.Overlaps(e.row.Row, row.Row):
		return e.conflict(row, pair, "another edit changed the same cells")
	}
	return nil
}

func (e *Editor) baseExists() bool { return e.base.Revision > 0 && !e.row.Deleted }

func (e *Editor) swap(now time.Time) []EditorAction {
	if e.swaps >= maxSwaps {
		return e.abort("the row changes too often")
	}
	value, err := e.value(now)
	if err != nil {
		return e.refuse(err.Error())
	}
	e.swaps++
	e.inFlight = true
	return []EditorAction{SwapRow{Expected: e.base.Revision, Value: value}}
}

// value returns the encoded row that results from applying the edit to the base.
func (e *Editor) value(now time.Time) ([]byte, error) {
	record := storedRecord{ID: e.edit.ID, Time: now.UTC(), By: e.edit.Author, Previous: e.base.Revision}
	next := e.row
	next.Row.Service, next.Row.Place = e.edit.Key.Service, e.edit.Key.Place
	if e.baseExists() {
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
	return json.Marshal(next.withRecord(record))
}

func (e *Editor) swapped(now time.Time, done SwapDone) []EditorAction {
	e.inFlight = false
	if done.Unknown {
		e.unresolved[e.base.Revision] = true
	}
	switch {
	case done.Unknown && e.fault == faultAcceptUnknown:
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: e.base.Revision + 1})
	case done.Unknown, done.Err != nil:
		return e.retryRead()
	case done.Succeeded:
		return e.finish(api.EditResult{Outcome: api.EditAccepted, Revision: done.Revision})
	}
	return e.resolve(now, done.Current)
}

func (e *Editor) retryRead() []EditorAction {
	delay := e.delay
	e.delay = min(2*e.delay, maxRetryDelay)
	return []EditorAction{ReadRow{Delay: delay}}
}

func (e *Editor) abort(reason string) []EditorAction {
	if e.edit.SinceRevision > 0 {
		return e.finish(api.EditResult{Outcome: api.EditUnknown, Message: reason})
	}
	return e.refuse(reason)
}

func (e *Editor) unknown(reason string, row storedRow, pair KeyValue) []EditorAction {
	return e.finish(api.EditResult{Outcome: api.EditUnknown, Current: currentRow(row, pair), Message: reason})
}

// refuse ends the edit as refused, or as unknown if a swap is unresolved.
func (e *Editor) refuse(reason string) []EditorAction {
	outcome := api.EditRefused
	if e.hasUnresolvedSwap() {
		outcome = api.EditUnknown
	}
	return e.finish(api.EditResult{Outcome: outcome, Message: reason})
}

func (e *Editor) hasUnresolvedSwap() bool { return e.inFlight || len(e.unresolved) > 0 }

func (e *Editor) conflict(row storedRow, pair KeyValue, reason string) []EditorAction {
	outcome := api.EditConflict
	if e.hasUnresolvedSwap() {
		outcome = api.EditUnknown
	}
	return e.finish(api.EditResult{Outcome: outcome, Current: currentRow(row, pair), Message: reason})
}

func (e *Editor) finish(result api.EditResult) []EditorAction {
	e.finished = true
	result.ID = e.edit.ID
	return []EditorAction{Finished{Result: result}}
}

func decodeBase(pair KeyValue) (storedRow, error) {
	if pair.Revision == 0 {
		return storedRow{}, nil
	}
	return decodeStored(pair.Value)
}

func currentRow(row storedRow, pair KeyValue) *api.VersionedRow {
	if pair.Revision == 0 {
		return nil
	}
	versioned := row.versioned(pair.Revision)
	return &versioned
}

// findEdit returns the revision at which the edit took effect, if the row's records
// contain it.
func (s storedRow) findEdit(id string, revision int64) (int64, bool) {
	for _, record := range s.history(revision) {
		if record.ID == id {
			return record.Revision, true
		}
	}
	return revision, revision > 0 && s.EditID == id
}
