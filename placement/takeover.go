package placement

import "github.com/dykewing/dykewing/api"

// maxFailedReports is the number of failed reports after which a new home proceeds
// without one, so that a worker that never reports is not excluded from batch.
const maxFailedReports = 4

// Takeover tracks requests that the previous home of a worker still runs there, so
// that a new home leaves their slots free. It is not safe for concurrent use.
type Takeover struct {
	pending map[api.WorkerID]*inheritedLoad
	known   map[api.WorkerID]bool
}

type inheritedLoad struct {
	reported bool
	failures int
	requests int // upper bound, in flight from the previous home
}

// NewTakeover returns a Takeover without workers.
func NewTakeover() *Takeover {
	return &Takeover{pending: map[api.WorkerID]*inheritedLoad{}, known: map[api.WorkerID]bool{}}
}

// SetWorkers replaces the workers whose home is this router and returns the new ones.
func (t *Takeover) SetWorkers(workers []api.Worker) []api.Worker {
	var adopted []api.Worker
	known := make(map[api.WorkerID]bool, len(workers))
	for _, worker := range workers {
		known[worker.ID] = true
		if !t.known[worker.ID] {
			t.pending[worker.ID] = &inheritedLoad{}
			adopted = append(adopted, worker)
		}
	}
	for id := range t.pending {
		if !known[id] {
			delete(t.pending, id)
		}
	}
	t.known = known
	return adopted
}

// Pending reports whether the worker may still run requests of its previous home.
func (t *Takeover) Pending(worker api.WorkerID) bool { return t.pending[worker] != nil }

// RecordReport records the number of requests running at the worker and the number that
// this router had sent at the time. It reports whether the result of Adjust
// changed. The difference can only decrease, since the previous home sends no new
// requests.
func (t *Takeover) RecordReport(worker api.WorkerID, running, own int) bool {
	inherited, ok := t.pending[worker]
	if !ok {
		return false
	}
	requests := max(running-own, 0)
	if inherited.reported {
		requests = min(requests, inherited.requests)
	}
	changed := !inherited.reported || requests != inherited.requests
	inherited.reported, inherited.requests = true, requests
	if requests == 0 {
		delete(t.pending, worker)
	}
	return changed
}

// RecordFailure records that no report could be obtained. It reports whether the result of
// Adjust changed.
func (t *Takeover) RecordFailure(worker api.WorkerID) bool {
	inherited, ok := t.pending[worker]
	if !ok || inherited.reported {
		return false
	}
	inherited.failures++
	if inherited.failures < maxFailedReports {
		return false
	}
	delete(t.pending, worker)
	return true
}

// Adjust returns the worker with its slots reduced by the inherited requests. Before
// the first report it has one slot, which leaves no room for batch.
func (t *Takeover) Adjust(worker api.Worker) api.Worker {
	inherited, ok := t.pending[worker.ID]
	if !ok {
		return worker
	}
	free := 1
	if inherited.reported {
		free = max(worker.Slots-inherited.requests, 1)
	}
	worker.Slots = min(worker.Slots, free)
	return worker
}
