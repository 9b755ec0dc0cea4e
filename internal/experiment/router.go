package experiment

import (
	"time"

	"github.com/dykewing/dykewing/admission"
	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

const refusalRetryAfter = time.Second

// router simulates a home router around the production admission machine.
type router struct {
	fleet    *fleet
	node     api.Node
	machine  *admission.Machine
	inFlight map[api.RequestID]*inFlightRequest
}

// inFlightRequest is a dispatched request.
type inFlightRequest struct {
	request   routing.Request
	engine    *engineProcess
	execution *execution // the latest; a suspended item has several
	work      Work
	item      *item // nil for online requests
	attempt   attempt
	done      bool
}

func newRouter(f *fleet, node api.Node, settings admission.Settings) *router {
	settings.Online = routing.OnlineProfile(node.Location, f.random)
	settings.Batch = routing.BatchProfile(f.random)
	settings.RetryAfter = refusalRetryAfter
	return &router{
		fleet: f, node: node, machine: admission.NewMachine(settings),
		inFlight: map[api.RequestID]*inFlightRequest{},
	}
}

// start schedules the router's load polling and batch claims.
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

// step steps the machine and carries out its actions, except the answer to an
// arriving request, which it returns.
func (r *router) step(message admission.Message) admission.Action {
	var answer admission.Action
	for _, action := range r.machine.Step(r.fleet.simulation.Now(), message) {
		switch action := action.(type) {
		case admission.Preempt:
			r.withFlight(action.Request, r.preempt)
		case admission.Suspend:
			r.withFlight(action.Request, r.suspend)
		case admission.Resume:
			r.withFlight(action.Request, func(flight *inFlightRequest) { r.submit(flight, action.Dispatch, true) })
		default:
			answer = action
		}
	}
	return answer
}

// withFlight applies carryOut to a request in flight, and records a violation if
// there is no such request.
func (r *router) withFlight(id api.RequestID, carryOut func(*inFlightRequest)) {
	flight, ok := r.inFlight[id]
	if !ok {
		r.fleet.recordViolation("router %s acts on request %s, which is not in flight", r.node.ID, id)
		return
	}
	carryOut(flight)
}

func (r *router) readLoads() {
	now := r.fleet.simulation.Now()
	for _, worker := range r.fleet.listed {
		process := r.fleet.engines[worker.ID]
		if process.dead || !r.machine.IsHomeOf(worker.ID) {
			continue
		}
		load := process.engine.Load(now)
		r.step(admission.Load{
			Worker: worker.ID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Draining, Asked: now,
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

// attempt holds the callbacks for the progress of one dispatch attempt.
type attempt struct {
	onToken  func(index int, last bool) // called when the token reaches the router
	onBroken func()                     // the response was cut off
	onNotRun func()                     // refused, or the worker was unreachable
}

// admit submits the request to the admission machine and dispatches it if
// admitted.
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
	flight := &inFlightRequest{request: request, engine: r.fleet.engines[dispatch.Worker], work: work, item: item, attempt: attempt}
	r.inFlight[request.ID] = flight
	r.submit(flight, dispatch, false)
}

// submit sends the request to its engine, unless it is cancelled before it
// arrives.
func (r *router) submit(flight *inFlightRequest, dispatch admission.Dispatch, resume bool) {
	delay := r.delay(flight)
	execution := &execution{
		work: flight.work, online: flight.request.Class == api.ClassOnline, request: flight.request.ID, resume: resume,
		onToken: func(index int, last bool) {
			r.fleet.simulation.After(delay, func() { r.handleToken(flight, index, last) })
		},
		onBreak: func() { r.fleet.simulation.After(delay, func() { r.handleBroken(flight) }) },
	}
	flight.execution = execution
	r.fleet.simulation.After(delay, func() {
		if execution.stopped || flight.engine.submit(execution, dispatch.Priority) {
			return
		}
		r.fleet.simulation.After(delay, func() { r.handleUnreachable(flight, dispatch.Worker) })
	})
}

func (r *router) delay(flight *inFlightRequest) time.Duration {
	return r.fleet.latency(r.node.Location.Zone, flight.engine.worker.Location.Zone)
}

func (r *router) handleToken(flight *inFlightRequest, index int, last bool) {
	if flight.done {
		return
	}
	// Responses of batch items are not streamed, so their first token is not observed.
	if index == 0 && flight.request.Class == api.ClassOnline {
		r.step(admission.FirstToken{Request: flight.request.ID})
	}
	if last {
		// The request may have completed while a cancellation was in transit.
		r.end(flight)
		r.stop(flight)
	}
	flight.attempt.onToken(index, last)
}

// end removes the request from the router and the admission machine.
func (r *router) end(flight *inFlightRequest) {
	flight.done = true
	delete(r.inFlight, flight.request.ID)
	r.step(admission.Finished{Request: flight.request.ID})
}

func (r *router) handleBroken(flight *inFlightRequest) {
	if flight.done {
		return
	}
	r.end(flight)
	flight.attempt.onBroken()
}

func (r *router) handleUnreachable(flight *inFlightRequest, worker api.WorkerID) {
	if flight.done {
		return
	}
	r.end(flight)
	r.step(admission.Unreachable{Worker: worker})
	flight.attempt.onNotRun()
}

// stop cancels the current execution at its engine.
func (r *router) stop(flight *inFlightRequest) {
	execution := flight.execution
	execution.stopped = true
	r.fleet.simulation.After(r.delay(flight), func() { flight.engine.cancel(execution) })
}

// suspend cancels a batch item at its engine; the router may resume it later.
func (r *router) suspend(flight *inFlightRequest) {
	r.fleet.measure.suspended(r.fleet.simulation.Now())
	r.stop(flight)
}

// preempt cancels a batch item and returns it to the backlog.
func (r *router) preempt(flight *inFlightRequest) {
	flight.done = true
	delete(r.inFlight, flight.request.ID)
	r.fleet.measure.preempted(r.fleet.simulation.Now())
	r.stop(flight)
	r.requeue(flight.item)
}

func (r *router) requeue(item *item) {
	r.fleet.simulation.After(r.fleet.scenario.Network.BetweenZones, func() { r.fleet.requeueItem(item) })
}
