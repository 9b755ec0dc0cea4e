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
	allowance int // this router's part of the row's
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
	pending     int       // blocks of prompt that they have to compute
	batch       []*flight // in the engine, oldest first
	suspended   []*flight // oldest first
	quarantined time.Time // no new request before
	broken      int       // answers in a row that broke off before they began
	foreign     int       // requests in the engine that other routers sent
	peak        int       // most that was in flight since the last report
	lastPeak    int       // the same between the two reports before
	lastBatch   time.Time // when a batch request was last sent
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

func (m *Machine) setWorkers(workers []api.Worker) []Action {
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
	var gone []*workerState
	for _, state := range m.workers {
		if !state.listed {
			gone = append(gone, state)
		}
	}
	slices.SortFunc(gone, func(a, b *workerState) int { return cmp.Compare(a.worker.ID, b.worker.ID) })
	var actions []Action
	for _, state := range gone {
		m.prefix.Forget(state.worker.ID)
		actions = append(actions, m.giveUp(state, state.suspended)...)
		m.forget(state)
	}
	return actions
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
	s.peak = max(s.peak, s.inFlight())
	if !s.listed {
		return
	}
	endpoint := &s.row.endpoints[s.index]
	endpoint.Online, endpoint.Batch = s.online+s.foreign, len(s.batch)
	endpoint.Starting, endpoint.Pending = s.starting, s.pending
	endpoint.Leaving = s.worker.Leaving || s.leaving
}

func (s *workerState) idle() bool {
	return s.online == 0 && len(s.batch) == 0 && len(s.suspended) == 0
}

func (m *Machine) forget(state *workerState) {
	if !state.listed && state.idle() {
		delete(m.workers, state.worker.ID)
	}
}

func (m *Machine) report(now time.Time, load Load) []Action {
	state, ok := m.workers[load.Worker]
	if !ok {
		return nil
	}
	state.leaving = load.Leaving
	state.takeReport(load)
	state.refresh()
	return append(m.giveUp(state, m.overdue(now, state)), m.resume(state)...)
}

// takeReport finds what others have in flight at the worker, as after a change
// of home: what the engine has beyond the most that this router had there of
// late. The report is old, so that what is in flight now says nothing.
func (s *workerState) takeReport(load Load) {
	s.foreign = max(load.Running+load.Waiting-max(s.peak, s.lastPeak), 0)
	s.lastPeak, s.peak = s.peak, s.inFlight()
}

func (s *workerState) inFlight() int { return s.online + len(s.batch) + len(s.suspended) }

// candidates gives the row's endpoints as the online request sees them,
// without those that are quarantined; but when all are, it gives all: a try is
// better than a refusal.
func (m *Machine) candidates(now time.Time, request routing.Request, row *rowState) []routing.Endpoint {
	m.prefix.Match(now, request.Prefix)
	row.present = row.present[:0]
	for i, worker := range row.workers {
		if !now.Before(worker.quarantined) {
			row.present = append(row.present, m.endpoint(now, row, i))
		}
	}
	if len(row.present) > 0 {
		return row.present
	}
	for i := range row.workers {
		row.present = append(row.present, m.endpoint(now, row, i))
	}
	return row.present
}

func (m *Machine) endpoint(now time.Time, row *rowState, index int) routing.Endpoint {
	endpoint := row.endpoints[index]
	endpoint.Cached = m.prefix.Cached(row.workers[index].worker.ID)
	endpoint.BatchStarting = row.workers[index].batchStarting(now)
	return endpoint
}

// uncached is how many blocks of the request's prompt the worker has to
// compute, by the last match.
func (m *Machine) uncached(request routing.Request, worker *workerState) int {
	return max(len(request.Prefix)-m.prefix.Cached(worker.worker.ID), 0)
}

// batchStartTime is how long a batch request counts as starting: its first
// token is not seen, as its answer is not streamed.
const batchStartTime = 50 * time.Millisecond

func (s *workerState) batchStarting(now time.Time) int {
	starting := 0
	for i := len(s.batch) - 1; i >= 0 && now.Sub(s.batch[i].dispatched) < batchStartTime; i-- {
		starting++
	}
	return starting
}

func (s *workerState) add(flight *flight) {
	if flight.class == api.ClassBatch {
		flight.row.batchUse++
		s.batch = append(s.batch, flight)
		s.lastBatch = flight.dispatched
	} else {
		s.online++
		s.starting++
		s.pending += flight.blocks
	}
	s.refresh()
}

func (s *workerState) started(flight *flight) {
	if flight.class == api.ClassOnline {
		s.starting--
		s.pending -= flight.blocks
	}
	s.refresh()
}

func (s *workerState) drop(flight *flight) {
	if flight.class == api.ClassBatch {
		flight.row.batchUse--
		s.batch = without(s.batch, flight)
		s.suspended = without(s.suspended, flight)
	} else {
		s.online--
		if flight.starting {
			s.starting--
			s.pending -= flight.blocks
		}
	}
	s.refresh()
}

func without(flights []*flight, dropped *flight) []*flight {
	if at := slices.Index(flights, dropped); at >= 0 {
		return slices.Delete(flights, at, at+1)
	}
	return flights
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
		summary.Batch += len(state.batch) + len(state.suspended)
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

// CacheSequence is the number of the last cache event taken from the worker.
func (m *Machine) CacheSequence(worker api.WorkerID) uint64 { return m.prefix.Sequence(worker) }
