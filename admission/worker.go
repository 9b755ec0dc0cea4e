package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// rowState is a row of the table with the workers that serve it here. It lives
// on while requests of it are in flight.
type rowState struct {
	key       api.RowKey
	row       api.Row
	inTable   bool
	workers   []*workerState     // sorted by id
	endpoints []routing.Endpoint // of workers, at the same index
	present   []routing.Endpoint // reused: those that are not quarantined
	inUse     int                // both classes
	batchUse  int
}

// workerState is a worker with what this router sent to it.
type workerState struct {
	worker      api.Worker
	listed      bool // in the last Workers message
	leaving     bool // by its own report
	row         *rowState
	index       int // in row.workers; only while listed
	online      int
	starting    int       // online requests without a first token
	batch       []*flight // oldest first
	quarantined time.Time // no new request before
	lastBatch   time.Time // when a batch request was last sent
	quietSince  time.Time // when the last online request got its first token
}

func (m *Machine) setRows(rows map[api.RowKey]api.Row) {
	for _, state := range m.rows {
		state.inTable = false
	}
	for key, row := range rows {
		state := m.rowOf(key)
		state.row, state.inTable = row, true
	}
	for key, state := range m.rows {
		if !state.inTable && state.inUse == 0 && len(state.workers) == 0 {
			delete(m.rows, key)
		}
	}
}

func (m *Machine) rowOf(key api.RowKey) *rowState {
	state, ok := m.rows[key]
	if !ok {
		state = &rowState{key: key}
		m.rows[key] = state
	}
	return state
}

func (m *Machine) setWorkers(workers []api.Worker) {
	for _, state := range m.workers {
		state.listed = false
	}
	for _, row := range m.rows {
		row.workers, row.endpoints = row.workers[:0], row.endpoints[:0]
	}
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, worker := range sorted {
		m.list(worker)
	}
	for id, state := range m.workers {
		if !state.listed && state.idle() {
			delete(m.workers, id)
		}
	}
}

func (m *Machine) list(worker api.Worker) {
	state, ok := m.workers[worker.ID]
	if !ok {
		state = &workerState{}
		m.workers[worker.ID] = state
	}
	if state.listed {
		return // the list names it twice
	}
	state.worker, state.listed = worker, true
	state.row = m.rowOf(api.RowKey{Service: worker.Service, Place: worker.Place})
	state.index = len(state.row.workers)
	state.row.workers = append(state.row.workers, state)
	state.row.endpoints = append(state.row.endpoints, routing.Endpoint{
		Name: string(worker.ID), Address: worker.Address, Key: state.row.key,
		Location: worker.Location, Slots: worker.Slots,
	})
	state.refresh()
}

// refresh brings the worker's endpoint up to date.
func (s *workerState) refresh() {
	if !s.listed {
		return
	}
	endpoint := &s.row.endpoints[s.index]
	endpoint.Online, endpoint.Batch, endpoint.Starting = s.online, len(s.batch), s.starting
	endpoint.Leaving = s.worker.Leaving || s.leaving
}

func (s *workerState) idle() bool { return s.online == 0 && len(s.batch) == 0 }

func (m *Machine) forget(state *workerState) {
	if !state.listed && state.idle() {
		delete(m.workers, state.worker.ID)
	}
}

func (m *Machine) report(load Load) {
	if state, ok := m.workers[load.Worker]; ok {
		state.leaving = load.Leaving
		state.refresh()
	}
}

func (m *Machine) quarantine(now time.Time, worker api.WorkerID) {
	if state, ok := m.workers[worker]; ok {
		state.quarantined = now.Add(m.settings.Filling.Quarantine)
	}
}

// reachable gives the endpoints that are not quarantined. When all are, it
// gives all: a try is better than a refusal.
func (r *rowState) reachable(now time.Time) []routing.Endpoint {
	r.present = r.present[:0]
	for i, worker := range r.workers {
		if !now.Before(worker.quarantined) {
			r.present = append(r.present, r.endpoints[i])
		}
	}
	if len(r.present) == 0 || len(r.present) == len(r.endpoints) {
		return r.endpoints
	}
	return r.present
}

func (s *workerState) add(flight *flight, filling Filling) {
	if flight.class == api.ClassBatch {
		flight.row.batchUse++
		s.batch = append(s.batch, flight)
		s.lastBatch = flight.dispatched
	} else {
		s.online++
		s.starting++
	}
	s.refresh()
}

func (s *workerState) started(now time.Time, flight *flight) {
	if flight.class == api.ClassOnline {
		s.starting--
		s.quietSince = now
	}
	s.refresh()
}

func (s *workerState) drop(flight *flight) {
	if flight.class == api.ClassBatch {
		flight.row.batchUse--
		at := slices.Index(s.batch, flight)
		s.batch = slices.Delete(s.batch, at, at+1)
	} else {
		s.online--
		if flight.starting {
			s.starting--
		}
	}
	s.refresh()
}

// Summaries reports each row's load at this home, sorted by row.
func (m *Machine) Summaries() []api.ServiceSummary {
	byKey := map[api.RowKey]*api.ServiceSummary{}
	for _, state := range m.workers {
		summary, ok := byKey[state.row.key]
		if !ok {
			summary = &api.ServiceSummary{Service: state.row.key.Service, Place: state.row.key.Place}
			byKey[state.row.key] = summary
		}
		summary.Online += state.online
		summary.Batch += len(state.batch)
		if state.listed && !state.worker.Leaving && !state.leaving {
			summary.Workers++
			summary.Slots += state.worker.Slots
		}
	}
	summaries := make([]api.ServiceSummary, 0, len(byKey))
	for _, summary := range byKey {
		summaries = append(summaries, *summary)
	}
	slices.SortFunc(summaries, func(a, b api.ServiceSummary) int {
		return cmp.Compare(a.Key().String(), b.Key().String())
	})
	return summaries
}

// Homes tells whether the worker is one that this router admits to.
func (m *Machine) Homes(worker api.WorkerID) bool {
	state, ok := m.workers[worker]
	return ok && state.listed
}
