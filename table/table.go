// Package table keeps the operators' table at a node: an immutable Snapshot
// that request paths read without a lock, the Replica machine that applies
// newer rows and never an older one, and the Editor machine that decides what
// became of an edit.
package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// maximumTombstones bounds the deleted rows that a replica remembers. They are
// only passed on: what keeps an old row from coming back is the revision of
// the whole snapshot.
const maximumTombstones = 256

// Message is what a Replica is stepped with.
type Message interface{ tableMessage() }

// Received carries changes from the key-value service or from a peer.
type Received struct {
	Delta api.TableDelta
	// Unreadable are keys that a full delta found with values that are not
	// valid: the rows in force stay.
	Unreadable []api.RowKey
}

func (Received) tableMessage() {}

// Action is what a Replica asks for.
type Action interface{ tableAction() }

// InForce says that the snapshot is the one to serve with from now on.
type InForce struct{ Snapshot *Snapshot }

// Gap says that a delta was left aside because changes between Revision, which
// is in force, and its start are missing: ask again from Revision.
type Gap struct{ Revision int64 }

func (InForce) tableAction() {}
func (Gap) tableAction()     {}

// Replica applies newer rows. Invariants: a snapshot at revision R contains
// all changes up to R, so a row of a revision up to R that is not in it is
// known to be gone; the revision in force and the revision of each key never
// fall.
type Replica struct {
	current *Snapshot
	fault   fault
}

// fault is a planted defect, so that the checks can be shown to fail.
type fault string

const (
	faultApplyOlder    fault = "apply-older"
	faultDropTombstone fault = "tombstone-dropped"
	faultIgnoreGap     fault = "ignore-gap"
)

// NewReplica starts without a table: a node serves only once it has one.
func NewReplica() *Replica { return &Replica{} }

// Current is the snapshot in force; nil before the first.
func (r *Replica) Current() *Snapshot { return r.current }

// Step applies the changes that are newer than those in force.
func (r *Replica) Step(_ time.Time, message Message) []Action {
	received, ok := message.(Received)
	if !ok {
		return nil
	}
	delta := received.Delta
	revision := r.revision()
	if delta.Revision <= revision && r.fault != faultApplyOlder {
		return nil
	}
	if !delta.Full && delta.After > max(revision, 0) && r.fault != faultIgnoreGap {
		return []Action{Gap{Revision: max(revision, 0)}}
	}
	r.apply(received)
	return []Action{InForce{Snapshot: r.current}}
}

// revision is that in force, -1 before the first.
func (r *Replica) revision() int64 {
	if r.current == nil {
		return -1
	}
	return r.current.revision
}

func (r *Replica) apply(received Received) {
	delta := received.Delta
	rows := map[api.RowKey]api.VersionedRow{}
	floor := int64(0)
	if r.current != nil {
		floor = r.current.floor
		for key, row := range r.current.rows {
			rows[key] = row
		}
	}
	if delta.Full {
		entomb(rows, received)
		// Rows that came and went unseen have no tombstone here.
		floor = delta.Revision
	}
	for _, row := range delta.Rows {
		// What a change up to the revision in force has left is already here.
		if delta.Full || row.Revision > r.revision() || r.fault == faultApplyOlder {
			r.applyRow(rows, row)
		}
	}
	if len(rows) > maximumTombstones {
		floor = dropTombstones(rows, floor)
	}
	r.current = newSnapshot(delta.Revision, floor, rows)
}

func (r *Replica) applyRow(rows map[api.RowKey]api.VersionedRow, row api.VersionedRow) {
	key := row.Row.Key()
	if r.fault == faultDropTombstone && row.Deleted {
		return
	}
	if known, ok := rows[key]; ok && known.Revision >= row.Revision && r.fault != faultApplyOlder {
		return
	}
	rows[key] = row
}

// entomb marks the rows that a full delta no longer has as deleted at its
// revision, unless their value there could not be read. Older tombstones are
// raised too: the row may have come back and gone again unseen.
func entomb(rows map[api.RowKey]api.VersionedRow, received Received) {
	kept := map[api.RowKey]bool{}
	for _, row := range received.Delta.Rows {
		kept[row.Row.Key()] = true
	}
	for _, key := range received.Unreadable {
		kept[key] = true
	}
	for key, row := range rows {
		if !kept[key] {
			rows[key] = api.VersionedRow{Row: row.Row, Revision: received.Delta.Revision, Deleted: true}
		}
	}
}

// dropTombstones forgets the oldest tombstones beyond the bound and gives the
// revision up to which they are dropped.
func dropTombstones(rows map[api.RowKey]api.VersionedRow, floor int64) int64 {
	var tombstones []api.VersionedRow
	for _, row := range rows {
		if row.Deleted {
			tombstones = append(tombstones, row)
		}
	}
	excess := len(tombstones) - maximumTombstones
	if excess <= 0 {
		return floor
	}
	slices.SortFunc(tombstones, func(a, b api.VersionedRow) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Row.Key().String(), b.Row.Key().String()))
	})
	for _, row := range tombstones[:excess] {
		delete(rows, row.Row.Key())
		floor = max(floor, row.Revision)
	}
	return floor
}
