// Package table replicates the operators' table to a node. A Snapshot is immutable, so
// that request paths read it without a lock. The Replica state machine applies changes
// and never reverts to an older revision. The Editor state machine applies one edit and
// determines its outcome.
package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// maxTombstones bounds the tombstones that a replica keeps. They only serve deltas for
// peers: the snapshot's revision alone prevents an old row from reappearing.
const maxTombstones = 256

// Message is an input of Replica.Step.
type Message interface{ tableMessage() }

// DeltaReceived carries changes from the key-value service or from a peer.
type DeltaReceived struct {
	Delta api.TableDelta
	// Unreadable holds the keys of a full delta whose values are invalid; their
	// current rows are kept.
	Unreadable []api.RowKey
}

func (DeltaReceived) tableMessage() {}

// Action is an output of Replica.Step.
type Action interface{ tableAction() }

// SnapshotApplied reports that the snapshot has become the current one.
type SnapshotApplied struct{ Snapshot *Snapshot }

// Gap reports that a delta was ignored because changes between the current Revision and
// its start are missing. The caller requests a new delta from Revision.
type Gap struct{ Revision int64 }

func (SnapshotApplied) tableAction() {}
func (Gap) tableAction()             {}

// Replica holds the current Snapshot and applies newer changes to it. Invariants: a
// snapshot at revision R contains all changes up to R, so a row with a revision up to R
// that is missing has been deleted; the current revision and that of each key never
// decrease. A Replica is not safe for concurrent use.
type Replica struct {
	current *Snapshot
	fault   fault
}

// fault is an injected defect with which tests verify that their checks can fail.
type fault string

const (
	faultApplyOlder    fault = "apply-older"
	faultDropTombstone fault = "tombstone-dropped"
	faultIgnoreGap     fault = "ignore-gap"
)

// NewReplica returns a Replica without a snapshot; a node serves only once it has one.
func NewReplica() *Replica { return &Replica{} }

// Current returns the current snapshot; nil before the first.
func (r *Replica) Current() *Snapshot { return r.current }

// Step applies a delta that is newer than the current snapshot.
func (r *Replica) Step(_ time.Time, message Message) []Action {
	received, ok := message.(DeltaReceived)
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
	return []Action{SnapshotApplied{Snapshot: r.current}}
}

// revision returns the current revision; -1 before the first.
func (r *Replica) revision() int64 {
	if r.current == nil {
		return -1
	}
	return r.current.revision
}

func (r *Replica) apply(received DeltaReceived) {
	delta := received.Delta
	rows := map[api.RowKey]api.VersionedRow{}
	floor := int64(0)
	if r.current != nil {
		floor = r.current.droppedRevision
		for key, row := range r.current.rows {
			rows[key] = row
		}
	}
	if delta.Full {
		deleteMissing(rows, received)
		// Rows created and deleted between the two revisions have no tombstone here.
		floor = delta.Revision
	}
	for _, row := range delta.Rows {
		// Rows up to the current revision are already in the snapshot.
		if delta.Full || row.Revision > r.revision() || r.fault == faultApplyOlder {
			r.applyRow(rows, row)
		}
	}
	if len(rows) > maxTombstones {
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

// deleteMissing marks rows that are missing in a full delta as deleted at its revision,
// unless their values were unreadable. The revisions of older tombstones are raised too,
// since the row may have been recreated and deleted again in between.
func deleteMissing(rows map[api.RowKey]api.VersionedRow, received DeltaReceived) {
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

// dropTombstones removes the oldest tombstones beyond maxTombstones and returns the
// revision up to which tombstones may be missing.
func dropTombstones(rows map[api.RowKey]api.VersionedRow, floor int64) int64 {
	var tombstones []api.VersionedRow
	for _, row := range rows {
		if row.Deleted {
			tombstones = append(tombstones, row)
		}
	}
	excess := len(tombstones) - maxTombstones
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
