// Package admission decides at a home router whether a request runs now and at
// which of the workers that it is home of. Online requests are never queued
// behind batch: they are sent at once or refused at once. Batch requests only
// fill idle room under their row's allowance and are preempted when online
// requests need the room.
package admission

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/quota"
	"github.com/dykewing/dykewing/routing"
)

// Settings of a Machine.
type Settings struct {
	Online routing.Profile
	Batch  routing.Profile
	// RetryAfter is the advice given with a refusal for want of room.
	RetryAfter time.Duration
	// Reserve is the share of a worker's slots that batch leaves free, 0 to 1.
	Reserve float64
	// Ceilings holds this router's shares of the rows' ceilings; nil bounds each
	// router by itself.
	Ceilings *quota.Holder
	// Prefix bounds what is known of workers' prefix caches; zero is
	// routing.DefaultPrefixSettings.
	Prefix routing.PrefixSettings
	// Filling says how batch takes idle room; zero is DefaultFilling.
	Filling Filling
}

// DefaultReserve leaves a twentieth of each worker for the start of a burst;
// more costs batch and helps online little (docs/design/admission.md).
const DefaultReserve = 0.05

// Message is what a Machine is stepped with.
type Message interface{ admissionMessage() }

// Workers replaces the workers that this router is home of. Requests in
// flight at a worker that is left out are still counted until they finish.
type Workers struct {
	Workers []api.Worker
	// Positions share the rows' batch allowances out among the homes; nil gives
	// this router the whole of them.
	Positions map[api.WorkerID]Position
}

// Rows replaces the table in force.
type Rows struct{ Rows map[api.RowKey]api.Row }

// Load is a worker's own lagging report.
type Load struct {
	Worker  api.WorkerID
	Running int // requests it runs
	Waiting int // requests in its queue
	Leaving bool
	Asked   time.Time
}

// Arrive asks for a request to be admitted; the step answers it with exactly
// one Dispatch or Refuse.
type Arrive struct{ Request routing.Request }

// FirstToken says that the answer of a dispatched request has begun.
type FirstToken struct{ Request api.RequestID }

// Finished says that a dispatched request no longer uses its worker; a second
// one for the same request is ignored.
type Finished struct{ Request api.RequestID }

// CacheEvents are a worker's prefix cache events, in order.
type CacheEvents struct {
	Worker api.WorkerID
	Events []routing.CacheEvent
}

func (Workers) admissionMessage()     {}
func (Rows) admissionMessage()        {}
func (Load) admissionMessage()        {}
func (Arrive) admissionMessage()      {}
func (FirstToken) admissionMessage()  {}
func (Finished) admissionMessage()    {}
func (CacheEvents) admissionMessage() {}

// Action is what a Machine asks for.
type Action interface{ admissionAction() }

// Dispatch sends the request to the worker.
type Dispatch struct {
	Request  api.RequestID
	Worker   api.WorkerID
	Address  string
	Priority int
}

// Refuse ends the request; it has not run.
type Refuse struct {
	Request api.RequestID
	Failure *api.Error
}

// Preempt ends a batch request in flight or suspended, to be run again
// elsewhere. Its slot is free at once; a Finished that follows is ignored.
type Preempt struct {
	Request api.RequestID
	Worker  api.WorkerID
}

// Suspend cancels a batch request at its engine, which remembers how far it
// has come. A Resume or a Preempt of the request follows.
type Suspend struct {
	Request api.RequestID
	Worker  api.WorkerID
}

// Resume sends a suspended request to its engine again, to go on where it was.
type Resume struct{ Dispatch }

func (Dispatch) admissionAction() {}
func (Refuse) admissionAction()   {}
func (Preempt) admissionAction()  {}
func (Suspend) admissionAction()  {}

// flight is a request between its Dispatch and its end.
type flight struct {
	request    api.RequestID
	worker     *workerState
	row        *rowState // the row at admission
	class      api.Class
	dispatched time.Time
	priority   int
	repeatable bool
	suspended  time.Time // zero while it runs
	starting   bool      // no first token yet
	blocks     int       // of prompt to compute, by what was thought cached
}

// Machine is the admission state machine of one home router.
type Machine struct {
	settings Settings
	workers  map[api.WorkerID]*workerState
	rows     map[api.RowKey]*rowState
	flights  map[api.RequestID]*flight
	online   routing.Chooser
	batch    routing.Chooser
	prefix   *routing.PrefixIndex
	tail     tailEstimate
	// positions are those of the last Workers.
	positions map[api.WorkerID]Position
	roomy     []routing.Endpoint // reused: endpoints with idle room
}

// NewMachine starts with no worker and no row.
func NewMachine(settings Settings) *Machine {
	if settings.Filling == (Filling{}) {
		settings.Filling = DefaultFilling()
	}
	if settings.Prefix == (routing.PrefixSettings{}) {
		settings.Prefix = routing.DefaultPrefixSettings()
	}
	return &Machine{
		settings: settings, prefix: routing.NewPrefixIndex(settings.Prefix),
		workers: map[api.WorkerID]*workerState{},
		rows:    map[api.RowKey]*rowState{},
		flights: map[api.RequestID]*flight{},
		online:  routing.Chooser{Profile: settings.Online},
		batch:   routing.Chooser{Profile: settings.Batch},
	}
}

// Step takes one message.
func (m *Machine) Step(now time.Time, message Message) []Action {
	switch message := message.(type) {
	case Workers:
		m.positions = message.Positions
		actions := m.setWorkers(message.Workers)
		m.shareAllowances()
		return actions
	case Rows:
		m.setRows(message.Rows)
		m.setCeilings(now, message.Rows)
		m.shareAllowances()
	case Ceiling:
		return m.stepCeilings(now, message)
	case Load:
		return m.report(now, message)
	case Arrive:
		return m.arrive(now, message.Request)
	case FirstToken:
		return m.firstToken(message.Request)
	case Finished:
		return m.finished(message.Request)
	case CacheEvents:
		if m.Homes(message.Worker) {
			m.prefix.Apply(now, message.Worker, message.Events)
		}
	case Unreachable:
		return m.quarantine(now, message.Worker)
	case Broken:
		return m.broke(now, message.Worker)
	}
	return nil
}

func (m *Machine) arrive(now time.Time, request routing.Request) []Action {
	key := api.RowKey{Service: request.Service, Place: request.Place}
	row, ok := m.rows[key]
	if !ok || !row.inTable {
		return m.refuse(request, api.CodeUnknownService, 0, "no row %s in the table", key)
	}
	if _, running := m.flights[request.ID]; running {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "request %s is still in flight here", request.ID)
	}
	preempted, refusal := m.checkCeiling(now, request, row)
	if refusal != nil {
		return refusal
	}
	if request.Class == api.ClassBatch {
		return m.arriveBatch(now, request, row)
	}
	return append(preempted, m.arriveOnline(now, request, row)...)
}

// arriveOnline sends at once where a worker is left. Batch is preempted in
// the same step, before the online request can wait for it.
func (m *Machine) arriveOnline(now time.Time, request routing.Request, row *rowState) []Action {
	endpoint, ok := m.online.Choose(request, m.candidates(now, request, row))
	if !ok && len(request.Excluded) > 0 {
		// All that stay have failed once; one of them beats no answer.
		request.Excluded = nil
		endpoint, ok = m.online.Choose(request, m.candidates(now, request, row))
	}
	if m.settings.Filling.Fault == FaultDelayOnline && row.batchUse > 0 {
		ok = false
	}
	if !ok {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "no worker for row %s", row.key)
	}
	worker := m.workers[api.WorkerID(endpoint.Name)]
	ahead := worker.pending
	dispatch := m.dispatch(now, request, row, worker)
	late := m.tail.late(ahead+m.flights[request.ID].blocks, m.settings.Filling.SuspendQuantile)
	return append(m.yield(now, worker, late), dispatch)
}

func (m *Machine) arriveBatch(now time.Time, request routing.Request, row *rowState) []Action {
	if row.batchUse >= row.allowance && m.settings.Filling.Fault != FaultIgnoreAllowance {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "the part %d of row %s's batch allowance of %d is in use", row.allowance, row.key, row.row.BatchAllowance)
	}
	m.prefix.Match(now, request.Prefix)
	endpoint, ok := m.batch.Choose(request, m.endpointsWithRoom(now, row))
	if !ok {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "no idle room for row %s", row.key)
	}
	return []Action{m.dispatch(now, request, row, m.workers[api.WorkerID(endpoint.Name)])}
}

func (m *Machine) dispatch(now time.Time, request routing.Request, row *rowState, worker *workerState) Action {
	flight := &flight{
		request: request.ID, worker: worker, row: row, class: request.Class, repeatable: request.Repeatable,
		priority:   m.settings.Filling.priority(request.Class, row.row.Priority),
		dispatched: now, starting: true, blocks: m.uncached(request, worker),
	}
	m.prefix.Sent(now, worker.worker.ID, request.Prefix)
	m.flights[request.ID] = flight
	row.inUse++
	m.takeCeiling(now, row)
	worker.add(flight)
	return flight.dispatch()
}

func (f *flight) dispatch() Dispatch {
	return Dispatch{Request: f.request, Worker: f.worker.worker.ID, Address: f.worker.worker.Address, Priority: f.priority}
}

func (m *Machine) firstToken(request api.RequestID) []Action {
	flight, ok := m.flights[request]
	if !ok || !flight.starting {
		return nil
	}
	flight.starting = false
	flight.worker.broken = 0
	flight.worker.started(flight)
	return m.resume(flight.worker)
}

func (m *Machine) finished(request api.RequestID) []Action {
	flight, ok := m.flights[request]
	if !ok {
		return nil
	}
	m.finish(flight)
	return m.resume(flight.worker)
}

// finish takes a request out of all accounts.
func (m *Machine) finish(flight *flight) {
	delete(m.flights, flight.request)
	flight.row.inUse--
	m.releaseCeiling(flight.row)
	if m.settings.Filling.Fault != FaultLeakSlot || flight.class == api.ClassOnline {
		flight.worker.drop(flight)
	}
	m.forget(flight.worker)
}

func (m *Machine) refuse(request routing.Request, code api.ErrorCode, retryAfter time.Duration, format string, arguments ...any) []Action {
	failure := api.NewError("admit request", "", code, api.OutcomeNotRun, format, arguments...)
	failure.RetryAfter = retryAfter
	return []Action{Refuse{Request: request.ID, Failure: failure}}
}
