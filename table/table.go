// Package table keeps the operators' table at a node: an immutable Snapshot
// that request paths read without a lock, and the Replica machine that applies
// newer rows and never an older one.
package table

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Snapshot is the table at one revision. It is immutable.
type Snapshot struct {
	revision  int64
	rows      map[api.RowKey]api.VersionedRow // tombstones included
	byService map[api.ServiceName][]api.Row   // live rows, sorted by place
}

// NewSnapshot builds a snapshot from rows with one entry a key.
func NewSnapshot(revision int64, rows map[api.RowKey]api.VersionedRow) *Snapshot {
	snapshot := &Snapshot{revision: revision, rows: rows, byService: map[api.ServiceName][]api.Row{}}
	for _, versioned := range rows {
		if !versioned.Deleted {
			snapshot.byService[versioned.Row.Service] = append(snapshot.byService[versioned.Row.Service], versioned.Row)
		}
	}
	for _, serviceRows := range snapshot.byService {
		slices.SortFunc(serviceRows, func(a, b api.Row) int { return cmp.Compare(a.Place, b.Place) })
	}
	return snapshot
}

// Revision is the newest key-value revision that the snapshot contains.
func (s *Snapshot) Revision() int64 { return s.revision }

// Service gives the live rows of a service, sorted by place; do not modify.
func (s *Snapshot) Service(service api.ServiceName) []api.Row { return s.byService[service] }

// Row finds a live row.
func (s *Snapshot) Row(key api.RowKey) (api.Row, bool) {
	versioned, ok := s.rows[key]
	return versioned.Row, ok && !versioned.Deleted
}

// Services lists the services with a live row, sorted.
func (s *Snapshot) Services() []api.ServiceName {
	names := make([]api.ServiceName, 0, len(s.byService))
	for name := range s.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// After lists the rows newer than revision, tombstones included, oldest first.
func (s *Snapshot) After(revision int64) []api.VersionedRow {
	var newer []api.VersionedRow
	for _, versioned := range s.rows {
		if versioned.Revision > revision {
			newer = append(newer, versioned)
		}
	}
	slices.SortFunc(newer, func(a, b api.VersionedRow) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Row.Key().String(), b.Row.Key().String()))
	})
	return newer
}

// Message is what a Replica is stepped with.
type Message interface{ tableMessage() }

// Received carries rows from the key-value service or from a peer. Complete
// says that the rows are all that changed up to Revision, so that Revision
// itself may be taken as in force.
type Received struct {
	Delta api.TableDelta
}

func (Received) tableMessage() {}

// Action is what a Replica asks for.
type Action interface{ tableAction() }

// InForce says that the snapshot is the one to serve with from now on.
type InForce struct{ Snapshot *Snapshot }

func (InForce) tableAction() {}

// Replica applies newer rows. Invariant: the revision of a key never falls,
// and neither does the revision of the snapshot in force.
type Replica struct{ current *Snapshot }

// NewReplica starts without a table: a node serves only once it has one.
func NewReplica() *Replica { return &Replica{} }

// Current is the snapshot in force; nil before the first.
func (r *Replica) Current() *Snapshot { return r.current }

// Step applies the rows that are newer than those in force.
func (r *Replica) Step(_ time.Time, message Message) []Action {
	received, ok := message.(Received)
	if !ok {
		return nil
	}
	return r.apply(received.Delta)
}

func (r *Replica) apply(delta api.TableDelta) []Action {
	rows := map[api.RowKey]api.VersionedRow{}
	revision := delta.Revision
	changed := r.current == nil
	if r.current != nil {
		for key, row := range r.current.rows {
			rows[key] = row
		}
		changed = revision > r.current.revision
		revision = max(revision, r.current.revision)
	}
	for _, row := range delta.Rows {
		key := row.Row.Key()
		if known, ok := rows[key]; ok && known.Revision >= row.Revision {
			continue
		}
		rows[key] = row
		changed = true
	}
	if !changed {
		return nil
	}
	r.current = NewSnapshot(revision, rows)
	return []Action{InForce{Snapshot: r.current}}
}
