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
	request   routing.Request
	engine    *engineProcess
	execution *execution // the last one: a suspended item has several
	work      Work
	item      *item // of batch
	attempt   attempt
	done      bool
}

func newRouter(f *fleet, node api.Node, settings admission.Settings) *router {
	settings.Online = routing.OnlineProfile(node.Location, f.random)
	settings.Batch = routing.BatchProfile(f.random)
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
		switch action := action.(type) {
		case admission.Preempt:
			r.onFlight(action.Request, r.preempt)
		case admission.Suspend:
			r.onFlight(action.Request, r.suspend)
		case admission.Resume:
			r.onFlight(action.Request, func(flight *routerFlight) { r.submit(flight, action.Dispatch, true) })
		default:
			answer = action
		}
	}
	return answer
}

// onFlight carries out an action about a request that is in flight.
func (r *router) onFlight(id api.RequestID, carryOut func(*routerFlight)) {
	flight, ok := r.flights[id]
	if !ok {
		r.fleet.violate("router %s acts on request %s, which is not in flight", r.node.ID, id)
		return
	}
	carryOut(flight)
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
		r.readCacheEvents(process)
	}
}

func (r *router) readCacheEvents(process *engineProcess) {
	events := process.engine.CacheEvents(r.fleet.simulation.Now(), r.machine.CacheSequence(process.worker.ID))
	if len(events) == 0 {
		return
	}
	message := admission.CacheEvents{Worker: process.worker.ID}
	for _, event := range events {
		message.Events = append(message.Events, routing.CacheEvent{Sequence: event.Sequence, Stored: event.Stored, Removed: event.Removed})
	}
	r.step(message)
}

// attempt is what a sidecar or the batch loop wants to know of a request.
type attempt struct {
	onToken  func(index int, last bool) // at the router
	onBreak  func()                     // the answer broke off
	onNotRun func()                     // refused, or the worker could not be reached
}

// admit steps the machine and sends the request to its worker.
func (r *router) admit(request routing.Request, work Work, item *item, attempt attempt) {
	answer := r.step(admission.Arrive{Request: request})
	r.fleet.checkAnswered(r, request, answer)
	dispatch, ok := answer.(admission.Dispatch)
	if !ok {
		attempt.onNotRun()
		return
	}
	if request.Class == api.ClassBatch {
		r.fleet.checkAllowance(api.RowKey{Service: request.Service, Place: request.Place})
	}
	flight := &routerFlight{request: request, engine: r.fleet.engines[dispatch.Worker], work: work, item: item, attempt: attempt}
	r.flights[request.ID] = flight
	r.submit(flight, dispatch, false)
}

// submit sends the flight to its engine, unless it is stopped on the way.
func (r *router) submit(flight *routerFlight, dispatch admission.Dispatch, resume bool) {
	delay := r.delay(flight)
	execution := &execution{
		work: flight.work, online: flight.request.Class == api.ClassOnline, request: flight.request.ID, resume: resume,
		onToken: func(index int, last bool) {
			r.fleet.simulation.After(delay, func() { r.token(flight, index, last) })
		},
		onBreak: func() { r.fleet.simulation.After(delay, func() { r.broke(flight) }) },
	}
	flight.execution = execution
	r.fleet.simulation.After(delay, func() {
		if execution.stopped || flight.engine.submit(execution, dispatch.Priority) {
			return
		}
		r.fleet.simulation.After(delay, func() { r.unreachable(flight, dispatch.Worker) })
	})
}

func (r *router) delay(flight *routerFlight) time.Duration {
	return r.fleet.latency(r.node.Location.Zone, flight.engine.worker.Location.Zone)
}

func (r *router) token(flight *routerFlight, index int, last bool) {
	if flight.done {
		return
	}
	// The answer of a batch item is not streamed: its beginning is not seen.
	if index == 0 && flight.request.Class == api.ClassOnline {
		r.step(admission.FirstToken{Request: flight.request.ID})
	}
	if last {
		// It may have ended while a cancellation was on its way.
		r.end(flight)
		r.stop(flight)
	}
	flight.attempt.onToken(index, last)
}

// end takes a flight out of the accounts.
func (r *router) end(flight *routerFlight) {
	flight.done = true
	delete(r.flights, flight.request.ID)
	r.step(admission.Finished{Request: flight.request.ID})
}

func (r *router) broke(flight *routerFlight) {
	if flight.done {
		return
	}
	r.end(flight)
	flight.attempt.onBreak()
}

func (r *router) unreachable(flight *routerFlight, worker api.WorkerID) {
	if flight.done {
		return
	}
	r.end(flight)
	r.step(admission.Unreachable{Worker: worker})
	flight.attempt.onNotRun()
}

// stop cancels the flight's execution at its engine.
func (r *router) stop(flight *routerFlight) {
	execution := flight.execution
	execution.stopped = true
	r.fleet.simulation.After(r.delay(flight), func() { flight.engine.cancel(execution) })
}

// suspend cancels a batch item at its engine for a while.
func (r *router) suspend(flight *routerFlight) {
	r.fleet.measure.suspended(r.fleet.simulation.Now())
	r.stop(flight)
}

// preempt ends a batch item here and gives it back at once.
func (r *router) preempt(flight *routerFlight) {
	flight.done = true
	delete(r.flights, flight.request.ID)
	r.fleet.measure.preempted(r.fleet.simulation.Now())
	r.stop(flight)
	r.giveBack(flight.item)
}

func (r *router) giveBack(item *item) {
	r.fleet.simulation.After(r.fleet.scenario.Network.BetweenZones, func() { r.fleet.returnItem(item) })
}
