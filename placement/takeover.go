package placement

import "github.com/dykewing/dykewing/api"

// unreportedLimit is after how many failed reports a new home goes on without
// one: a worker that never reports must not stay without batch work.
const unreportedLimit = 4

// Takeover keeps what a new home must leave free at its workers for requests
// that the old home still runs there. It is not safe for concurrent use.
type Takeover struct {
	pending map[api.WorkerID]*inheritance
	known   map[api.WorkerID]bool
}

type inheritance struct {
	reported bool
	failures int
	requests int // of the old home, at most
}

// NewTakeover starts without a worker.
func NewTakeover() *Takeover {
	return &Takeover{pending: map[api.WorkerID]*inheritance{}, known: map[api.WorkerID]bool{}}
}

// SetHomed takes the workers that the router is home of now and gives those
// that it was not home of before.
func (t *Takeover) SetHomed(workers []api.Worker) []api.Worker {
	var adopted []api.Worker
	known := make(map[api.WorkerID]bool, len(workers))
	for _, worker := range workers {
		known[worker.ID] = true
		if !t.known[worker.ID] {
			t.pending[worker.ID] = &inheritance{}
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

// Pending tells whether the worker may still run requests of its old home.
func (t *Takeover) Pending(worker api.WorkerID) bool { return t.pending[worker] != nil }

// Report takes a worker's own count of requests and how many of them this
// router had sent when it asked; true when Adjust gives something else now.
// The rest can only shrink, since the old home sends nothing new.
func (t *Takeover) Report(worker api.WorkerID, running, own int) bool {
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

// Failed says that a report could not be had; true when Adjust gives something
// else now.
func (t *Takeover) Failed(worker api.WorkerID) bool {
	inherited, ok := t.pending[worker]
	if !ok || inherited.reported {
		return false
	}
	inherited.failures++
	if inherited.failures < unreportedLimit {
		return false
	}
	delete(t.pending, worker)
	return true
}

// Adjust gives the worker with the slots that are free of inherited requests.
// Before the first report that is one, which leaves no room for batch.
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
