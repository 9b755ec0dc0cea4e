package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// rowState is a row of the table and the workers that serve it at this router. It
// is kept until its last request finishes.
type rowState struct {
	key       api.RowKey
	row       api.Row
	inTable   bool
	workers   []*workerState     // sorted by ID
	endpoints []routing.Endpoint // parallel to workers
	available []routing.Endpoint // scratch buffer: endpoints not quarantined
	inUse     int                // in flight, both classes
	batchUse  int
	allowance int // this router's share
}

// workerState is a worker and the requests that this router sent to it.
type workerState struct {
	worker             api.Worker
	listed             bool // in the latest Workers message
	leaving            bool // reported by the worker
	row                *rowState
	index              int // in row.workers; valid while listed
	online             int
	awaitingFirstToken int       // online requests without a first token
	pendingBlocks      int       // uncached prompt blocks of these
	batch              []*flight // running, oldest first
	suspended          []*flight // oldest first
	quarantinedUntil   time.Time
	consecutiveAborts  int       // responses aborted before their first token
	foreign            int       // requests sent by other routers
	peakInFlight       int       // maximum in flight since the last report
	previousPeak       int       // peakInFlight of the interval before
	lastBatchSent      time.Time // last dispatch of batch
}

func (m *Machine) setRows(rows map[api.RowKey]api.Row) {
	for _, state := range m.rows {
		state.inTable = false
	}
	for key, row := range rows {
		state := m.getOrAddRow(key)
		state.row, state.inTable = row, true
	}
	for key, state := range m.rows {
		if !state.inTable && state.inUse == 0 && len(state.workers) == 0 {
			delete(m.rows, key)
		}
	}
}

func (m *Machine) getOrAddRow(key api.RowKey) *rowState {
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
		m.addWorker(worker)
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
		m.prefix.Remove(state.worker.ID)
		actions = append(actions, m.evict(state, state.suspended)...)
		m.removeIfIdle(state)
	}
	return actions
}

func (m *Machine) addWorker(worker api.Worker) {
	state, ok := m.workers[worker.ID]
	if !ok {
		state = &workerState{}
		m.workers[worker.ID] = state
	}
	if state.listed {
		return // duplicate entry
	}
	state.worker, state.listed = worker, true
	state.row = m.getOrAddRow(api.RowKey{Service: worker.Service, Place: worker.Place})
	state.index = len(state.row.workers)
	state.row.workers = append(state.row.workers, state)
	state.row.endpoints = append(state.row.endpoints, routing.Endpoint{
		Name: string(worker.ID), Address: worker.Address, Key: state.row.key,
		Location: worker.Location, Slots: worker.Slots,
	})
	state.refreshEndpoint()
}

// refreshEndpoint updates the worker's endpoint and peak.
func (s *workerState) refreshEndpoint() {
	s.peakInFlight = max(s.peakInFlight, s.inFlight())
	if !s.listed {
		return
	}
	endpoint := &s.row.endpoints[s.index]
	endpoint.Online, endpoint.Batch = s.online+s.foreign, len(s.batch)
	endpoint.AwaitingFirstToken, endpoint.PendingBlocks = s.awaitingFirstToken, s.pendingBlocks
	endpoint.Leaving = s.worker.Leaving || s.leaving
}

func (s *workerState) idle() bool {
	return s.online == 0 && len(s.batch) == 0 && len(s.suspended) == 0
}

func (m *Machine) removeIfIdle(state *workerState) {
	if !state.listed && state.idle() {
		delete(m.workers, state.worker.ID)
	}
}

func (m *Machine) handleLoad(now time.Time, load Load) []Action {
	state, ok := m.workers[load.Worker]
	if !ok {
		return nil
	}
	state.leaving = load.Leaving
	state.estimateForeign(load)
	state.refreshEndpoint()
	return append(m.evict(state, m.overdueSuspensions(now, state)), m.resumeSuspended(state)...)
}

// estimateForeign estimates the requests of other routers at the worker, for
// example after a change of home: those beyond the maximum that this router
// recently had in flight. The current number is not comparable, since the report
// is older.
func (s *workerState) estimateForeign(load Load) {
	s.foreign = max(load.Running+load.Waiting-max(s.peakInFlight, s.previousPeak), 0)
	s.previousPeak, s.peakInFlight = s.peakInFlight, s.inFlight()
}

func (s *workerState) inFlight() int { return s.online + len(s.batch) + len(s.suspended) }

// candidates returns the row's endpoints for an online request without those in
// quarantine. If all are in quarantine it returns all of them, since a try is
// better than a refusal.
func (m *Machine) candidates(now time.Time, request routing.Request, row *rowState) []routing.Endpoint {
	m.prefix.Match(now, request.Prefix)
	row.available = row.available[:0]
	for i, worker := range row.workers {
		if !now.Before(worker.quarantinedUntil) {
			row.available = append(row.available, m.endpoint(now, row, i))
		}
	}
	if len(row.available) > 0 {
		return row.available
	}
	for i := range row.workers {
		row.available = append(row.available, m.endpoint(now, row, i))
	}
	return row.available
}

func (m *Machine) endpoint(now time.Time, row *rowState, index int) routing.Endpoint {
	endpoint := row.endpoints[index]
	endpoint.CachedBlocks = m.prefix.CachedBlocks(row.workers[index].worker.ID)
	endpoint.BatchStarting = row.workers[index].batchStarting(now)
	return endpoint
}

// uncached returns the number of prompt blocks that the worker has to compute,
// according to the last match.
func (m *Machine) uncached(request routing.Request, worker *workerState) int {
	return max(len(request.Prefix)-m.prefix.CachedBlocks(worker.worker.ID), 0)
}

// batchStartTime is how long a batch request counts as starting. Its first token
// is not visible, since the response is not streamed.
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
		s.lastBatchSent = flight.dispatched
	} else {
		s.online++
		s.awaitingFirstToken++
		s.pendingBlocks += flight.uncachedBlocks
	}
	s.refreshEndpoint()
}

func (s *workerState) prefillDone(flight *flight) {
	if flight.class == api.ClassOnline {
		s.awaitingFirstToken--
		s.pendingBlocks -= flight.uncachedBlocks
	}
	s.refreshEndpoint()
}

func (s *workerState) remove(flight *flight) {
	if flight.class == api.ClassBatch {
		flight.row.batchUse--
		s.batch = removeFlight(s.batch, flight)
		s.suspended = removeFlight(s.suspended, flight)
	} else {
		s.online--
		if flight.awaitingFirstToken {
			s.awaitingFirstToken--
			s.pendingBlocks -= flight.uncachedBlocks
		}
	}
	s.refreshEndpoint()
}

func removeFlight(flights []*flight, dropped *flight) []*flight {
	if at := slices.Index(flights, dropped); at >= 0 {
		return slices.Delete(flights, at, at+1)
	}
	return flights
}

// Summaries returns the load of each row at this home, sorted by row.
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

// IsHomeOf reports whether this router is the home of the worker.
func (m *Machine) IsHomeOf(worker api.WorkerID) bool {
	state, ok := m.workers[worker]
	return ok && state.listed
}

// CacheSequence returns the sequence number of the last cache event applied for
// the worker.
func (m *Machine) CacheSequence(worker api.WorkerID) uint64 { return m.prefix.Sequence(worker) }
