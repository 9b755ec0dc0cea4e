package table

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
)

// Snapshot is the table at one revision, with all changes up to it. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	revision        int64
	droppedRevision int64 // tombstones up to this revision may have been dropped
	rows            map[api.RowKey]api.VersionedRow
	byService       map[api.ServiceName][]api.Row // live rows, sorted by place
}

// NewSnapshot returns a snapshot with the rows; the caller must not modify the map later.
func NewSnapshot(revision int64, rows map[api.RowKey]api.VersionedRow) *Snapshot {
	return newSnapshot(revision, 0, rows)
}

func newSnapshot(revision, floor int64, rows map[api.RowKey]api.VersionedRow) *Snapshot {
	snapshot := &Snapshot{revision: revision, droppedRevision: floor, rows: rows, byService: map[api.ServiceName][]api.Row{}}
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

// Revision returns the newest revision of the key-value service that the snapshot contains.
func (s *Snapshot) Revision() int64 { return s.revision }

// Service returns the live rows of a service, sorted by place. The caller must not modify
// them.
func (s *Snapshot) Service(service api.ServiceName) []api.Row { return s.byService[service] }

// Row returns the live row of the key, if any.
func (s *Snapshot) Row(key api.RowKey) (api.Row, bool) {
	versioned, ok := s.rows[key]
	return versioned.Row, ok && !versioned.Deleted
}

// VersionedRow returns the row or tombstone of the key with its revision, if any.
func (s *Snapshot) VersionedRow(key api.RowKey) (api.VersionedRow, bool) {
	versioned, ok := s.rows[key]
	return versioned, ok
}

// Services returns the services with a live row, sorted.
func (s *Snapshot) Services() []api.ServiceName {
	names := make([]api.ServiceName, 0, len(s.byService))
	for name := range s.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// LiveCount returns the number of live rows.
func (s *Snapshot) LiveCount() int {
	count := 0
	for _, rows := range s.byService {
		count += len(rows)
	}
	return count
}

// ChangedSince returns the rows newer than revision, including tombstones, oldest first.
func (s *Snapshot) ChangedSince(revision int64) []api.VersionedRow {
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

// Delta returns what a node that has all changes up to after is missing: the changes
// since, or the whole table if tombstones that it would need have been dropped.
func (s *Snapshot) Delta(after int64) api.TableDelta {
	if after < s.droppedRevision {
		live := slices.DeleteFunc(s.ChangedSince(0), func(row api.VersionedRow) bool { return row.Deleted })
		return api.TableDelta{Revision: s.revision, Rows: live, Full: true}
	}
	return api.TableDelta{After: max(after, 0), Revision: s.revision, Rows: s.ChangedSince(after)}
}
