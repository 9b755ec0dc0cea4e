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
	// loadPollers bounds how many reports are asked for at once; a slow worker
	// holds up one of them for its own timeout only.
	loadPollers = 16
	// loadTimeout bounds one report.
	loadTimeout = time.Second
)

// homing knows which workers this router is home of and asks them for their
// loads.
type homing struct {
	router *Router

	mutex    sync.Mutex // guards all below
	homes    *placement.Homes
	takeover *placement.Takeover
	workers  []api.Worker // the machine list
	// positions tell admission each worker's place in the list.
	positions map[api.WorkerID]admission.Position
	homed     []api.Worker
	asking    map[api.WorkerID]bool
	adopted   chan struct{} // asks for a round of reports at once
}

func newHoming(router *Router) *homing {
	return &homing{
		router: router, homes: placement.NewHomes(router.node.ID()), takeover: placement.NewTakeover(),
		asking: map[api.WorkerID]bool{}, adopted: make(chan struct{}, 1),
	}
}

// setWorkers takes the machine list.
func (h *homing) setWorkers(workers []api.Worker) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.workers, h.positions = workers, admission.Positions(workers)
	h.rehome()
}

// setNodes moves workers only when the routers changed: a view changes with
// every load report. A router that has not joined yet is home of nothing.
func (h *homing) setNodes(nodes []api.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.router.node.Settled() && h.homes.SetNodes(nodes) {
		h.rehome()
	}
}

// listed is the machine list; do not modify.
func (h *homing) listed() []api.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.workers
}

// rehome finds the workers that this router is home of; the mutex is held.
func (h *homing) rehome() {
	h.homed = h.homes.Mine(h.workers)
	if len(h.takeover.SetHomed(h.homed)) > 0 {
		select {
		case h.adopted <- struct{}{}:
		default:
		}
	}
	h.tell()
}

// tell gives admission the workers with the slots that it may fill.
func (h *homing) tell() {
	adjusted := make([]api.Worker, len(h.homed))
	for i, worker := range h.homed {
		adjusted[i] = h.takeover.Adjust(worker)
	}
	h.router.admission.Tell(admission.Workers{Workers: adjusted, Positions: h.positions})
}

// pollLoads asks each homed worker once an interval, side by side; one that has
// not answered yet is not asked again.
func (h *homing) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(h.router.node.Settings.Router.LoadInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, loadPollers)
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		select {
		case <-ticker.C:
		case <-h.adopted:
		case <-ctx.Done():
			return
		}
		for _, worker := range h.due() {
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

// due gives the workers that are not being asked and marks them as such.
func (h *homing) due() []api.Worker {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var due []api.Worker
	for _, worker := range h.homed {
		if !h.asking[worker.ID] {
			h.asking[worker.ID] = true
			due = append(due, worker)
		}
	}
	return due
}

// poll asks one worker for its load and for what changed in its cache.
func (h *homing) poll(ctx context.Context, worker api.Worker) {
	defer h.answered(worker.ID)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if h.pollLoad(ctx, worker) {
		h.pollCache(ctx, worker)
	}
}

func (h *homing) answered(worker api.WorkerID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.asking, worker)
}

// pollCache reads what has changed in the worker's prefix cache. Applications
// have none, and an engine that publishes nothing is left alone.
func (h *homing) pollCache(ctx context.Context, worker api.Worker) {
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

// pollLoad is false when the worker gave no report.
func (h *homing) pollLoad(ctx context.Context, worker api.Worker) bool {
	own := 0
	_ = h.router.admission.Inspect(func() { own = h.router.machine.InFlight(worker.ID) })
	asked := time.Now()
	load, err := h.router.backend.Load(ctx, worker.Address)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.failed(worker, err)
		return false
	}
	h.router.admission.Tell(admission.Load{
		Worker: worker.ID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving, Asked: asked,
	})
	if h.takeover.Report(worker.ID, load.Running+load.Waiting, own) {
		h.tell()
	}
	return true
}

// failed takes a report that could not be had. A refused connection says that
// the worker's process is gone, whatever the machine list says.
func (h *homing) failed(worker api.Worker, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.router.admission.Tell(admission.Unreachable{Worker: worker.ID})
	}
	if h.takeover.Failed(worker.ID) {
		h.tell()
	}
}
