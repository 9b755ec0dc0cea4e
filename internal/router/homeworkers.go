package router

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

const (
	loadPollers = 16 // maximum concurrent polls
	loadTimeout = time.Second
)

// homeWorkers tracks the workers that this router is home of and polls their loads.
type homeWorkers struct {
	router *Router

	mutex     sync.Mutex // guards the fields below
	homes     *placement.Homes
	takeover  *placement.Takeover
	workers   []api.Worker                        // the machine list
	positions map[api.WorkerID]admission.Position // in the machine list
	own       []api.Worker                        // workers that this router is home of
	polling   map[api.WorkerID]bool
	pollNow   chan struct{} // triggers a poll before the interval ends
}

func newHomeWorkers(router *Router) *homeWorkers {
	return &homeWorkers{
		router: router, homes: placement.NewHomes(router.node.ID()), takeover: placement.NewTakeover(),
		polling: map[api.WorkerID]bool{}, pollNow: make(chan struct{}, 1),
	}
}

// setWorkers replaces the machine list.
func (h *homeWorkers) setWorkers(workers []api.Worker) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.workers, h.positions = workers, admission.Positions(workers)
	h.assign()
}

// setNodes reassigns workers only if the set of routers has changed, since a view changes
// with every load report. A router that has not joined yet is home of no workers.
func (h *homeWorkers) setNodes(nodes []api.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.router.node.Settled() && h.homes.SetNodes(nodes) {
		h.assign()
	}
}

// machineList returns the machine list. The caller must not modify it.
func (h *homeWorkers) machineList() []api.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.workers
}

// assign recomputes the workers that this router is home of. The caller holds the mutex.
func (h *homeWorkers) assign() {
	h.own = h.homes.OwnWorkers(h.workers)
	if len(h.takeover.SetWorkers(h.own)) > 0 {
		select {
		case h.pollNow <- struct{}{}:
		default:
		}
	}
	h.publish()
}

// publish sends admission the workers with the slots that it may use. The caller holds the
// mutex.
func (h *homeWorkers) publish() {
	adjusted := make([]api.Worker, len(h.own))
	for i, worker := range h.own {
		adjusted[i] = h.takeover.Adjust(worker)
	}
	h.router.admission.Tell(admission.Workers{Workers: adjusted, Positions: h.positions})
}

// pollLoads polls the workers concurrently once per interval, and at once when workers
// are taken over, until ctx ends. It skips workers with a poll in progress.
func (h *homeWorkers) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(h.router.node.Settings.Router.LoadInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, loadPollers)
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		select {
		case <-ticker.C:
		case <-h.pollNow:
		case <-ctx.Done():
			return
		}
		for _, worker := range h.takeDue() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			polls.Go(func() {
				h.poll(ctx, worker)
				<-slots
			})
		}
	}
}

// due returns the workers without a poll in progress and marks them as being polled.
func (h *homeWorkers) takeDue() []api.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var due []api.Worker
	for _, worker := range h.own {
		if !h.polling[worker.ID] {
			h.polling[worker.ID] = true
			due = append(due, worker)
		}
	}
	return due
}

// poll reads a worker's load and its prefix cache events.
func (h *homeWorkers) poll(ctx context.Context, worker api.Worker) {
	defer h.finishPoll(worker.ID)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if h.pollLoad(ctx, worker) {
		h.pollCache(ctx, worker)
	}
}

func (h *homeWorkers) finishPoll(worker api.WorkerID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.polling, worker)
}

// pollCache reads new events of the worker's prefix cache. Errors are ignored, since
// applications and some engines publish none.
func (h *homeWorkers) pollCache(ctx context.Context, worker api.Worker) {
	var after uint64
	if h.router.admission.Inspect(func() { after = h.router.machine.CacheSequence(worker.ID) }) != nil {
		return
	}
	events, err := h.router.backend.CacheEvents(ctx, worker.Address, after)
	if err != nil || len(events) == 0 {
		return
	}
	h.router.admission.Tell(admission.CacheEvents{Worker: worker.ID, Events: events})
}

// pollLoad reads the worker's load and reports whether it succeeded.
func (h *homeWorkers) pollLoad(ctx context.Context, worker api.Worker) bool {
	inFlight := 0
	_ = h.router.admission.Inspect(func() { inFlight = h.router.machine.InFlight(worker.ID) })
	requestedAt := time.Now()
	load, err := h.router.backend.Load(ctx, worker.Address)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.recordFailure(worker, err)
		return false
	}
	h.router.admission.Tell(admission.Load{
		Worker: worker.ID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving, Asked: requestedAt,
	})
	if h.takeover.RecordReport(worker.ID, load.Running+load.Waiting, inFlight) {
		h.publish()
	}
	return true
}

// recordFailure records a failed poll. A refused connection means that the worker's process is
// gone, even if the machine list still has it.
func (h *homeWorkers) recordFailure(worker api.Worker, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.router.admission.Tell(admission.Unreachable{Worker: worker.ID})
	}
	if h.takeover.RecordFailure(worker.ID) {
		h.publish()
	}
}
