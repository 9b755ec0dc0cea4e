package experiment

import (
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

const refusalRetryAfter = time.Second

// router is a simulated home router around the real admission machine.
type router struct {
	fleet   *fleet
	node    api.Node
	machine *admission.Machine
	flights map[api.RequestID]*routerFlight
}

// routerFlight is a request that the router has dispatched.
type routerFlight struct {
	engine    *engineProcess
	execution *execution
	cancelled bool
	item      *item // of batch
}

func newRouter(f *fleet, node api.Node, settings admission.Settings) *router {
	settings.Online = onlineProfile(node.Location, f.random)
	settings.Batch = batchProfile(f.random)
	settings.RetryAfter = refusalRetryAfter
	return &router{
		fleet: f, node: node, machine: admission.NewMachine(settings),
		flights: map[api.RequestID]*routerFlight{},
	}
}

// start begins the router's polling.
func (r *router) start() {
	r.every(r.fleet.scenario.Fleet.LoadInterval, r.readLoads)
	if r.fleet.strategy != StrategyNoBatch {
		r.fleet.simulation.After(0, r.claim)
	}
}

func (r *router) every(interval time.Duration, f func()) {
	r.fleet.simulation.After(interval, func() {
		f()
		r.every(interval, f)
	})
}

// step runs the machine; the answer to an Arrive is given back, all else is
// carried out.
func (r *router) step(message admission.Message) admission.Action {
	var answer admission.Action
	for _, action := range r.machine.Step(r.fleet.simulation.Now(), message) {
		if preempt, ok := action.(admission.Preempt); ok {
			r.preempt(preempt)
			continue
		}
		answer = action
	}
	return answer
}

func (r *router) readLoads() {
	now := r.fleet.simulation.Now()
	for _, worker := range r.fleet.listed {
		process := r.fleet.engines[worker.ID]
		if process.dead || !r.machine.Homes(worker.ID) {
			continue
		}
		load := process.engine.Load(now)
		r.step(admission.Load{
			Worker: worker.ID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving, Asked: now,
		})
	}
}

// attempt is what a sidecar or the batch loop wants to know of a request.
type attempt struct {
	onToken  func(index int, last bool) // at the router
	onBreak  func()                     // the answer broke off
	onNotRun func()                     // refused, or the worker could not be reached
}

// admit steps the machine and sends the request to its worker.
func (r *router) admit(request routing.Request, work Work, item *item, attempt attempt) {
	dispatch, ok := r.step(admission.Arrive{Request: request}).(admission.Dispatch)
	if !ok {
		attempt.onNotRun()
		return
	}
	process := r.fleet.engines[dispatch.Worker]
	delay := r.fleet.latency(r.node.Location.Zone, process.worker.Location.Zone)
	flight := &routerFlight{engine: process, item: item}
	flight.execution = &execution{
		work: work, online: request.Class == api.ClassOnline, request: request.ID, router: r,
		onToken: func(index int, last bool) {
			r.fleet.simulation.After(delay, func() { r.token(request, flight, attempt, index, last) })
		},
		onBreak: func() { r.fleet.simulation.After(delay, func() { r.broke(request.ID, flight, attempt) }) },
	}
	r.flights[request.ID] = flight
	r.fleet.simulation.After(delay, func() {
		if flight.cancelled {
			return
		}
		if !process.submit(flight.execution, dispatch.Priority) {
			r.fleet.simulation.After(delay, func() { r.unreachable(request.ID, dispatch.Worker, attempt) })
		}
	})
}

func (r *router) token(request routing.Request, flight *routerFlight, attempt attempt, index int, last bool) {
	if flight.cancelled {
		return
	}
	// The answer of a batch item is not streamed: its beginning is not seen.
	if index == 0 && request.Class == api.ClassOnline {
		r.step(admission.FirstToken{Request: request.ID})
	}
	if last {
		delete(r.flights, request.ID)
		r.step(admission.Finished{Request: request.ID})
	}
	attempt.onToken(index, last)
}

func (r *router) broke(id api.RequestID, flight *routerFlight, attempt attempt) {
	if flight.cancelled {
		return
	}
	delete(r.flights, id)
	r.step(admission.Finished{Request: id})
	attempt.onBreak()
}

func (r *router) unreachable(id api.RequestID, worker api.WorkerID, attempt attempt) {
	delete(r.flights, id)
	r.step(admission.Unreachable{Worker: worker})
	r.step(admission.Finished{Request: id})
	attempt.onNotRun()
}

// preempt cancels a batch item at its engine and gives it back at once.
func (r *router) preempt(preempt admission.Preempt) {
	flight := r.flights[preempt.Request]
	delete(r.flights, preempt.Request)
	flight.cancelled = true
	r.fleet.measure.preempted(r.fleet.simulation.Now())
	delay := r.fleet.latency(r.node.Location.Zone, flight.engine.worker.Location.Zone)
	r.fleet.simulation.After(delay, func() { flight.engine.cancel(flight.execution) })
	r.giveBack(flight.item)
}

func (r *router) giveBack(item *item) {
	r.fleet.simulation.After(r.fleet.scenario.Network.BetweenZones, func() { r.fleet.returnItem(item) })
}
