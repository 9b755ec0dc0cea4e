// Package admission implements admission control at a home router: it decides
// whether a request runs now and at which of the router's workers. Online
// requests are never queued behind batch; they are dispatched or refused
// immediately. Batch requests only use idle slots, up to their row's allowance,
// and are preempted when online requests need the slots.
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
	// RetryAfter is the delay suggested to callers refused for lack of capacity.
	RetryAfter time.Duration
	// Reserve is the share of each worker's slots that batch leaves free, from
	// 0 to 1.
	Reserve float64
	// Ceilings holds this router's shares of the rows' ceilings. If nil, each
	// router enforces the ceilings locally.
	Ceilings *quota.Holder
	// Prefix bounds the index of the workers' prefix caches; the zero value
	// selects routing.DefaultPrefixSettings.
	Prefix routing.PrefixSettings
	// BatchPolicy is the policy for batch; the zero value selects
	// admission.DefaultBatchPolicy.
	BatchPolicy BatchPolicy
}

// DefaultReserve keeps 5% of each worker's slots free for the start of a burst.
// See docs/design/admission.md.
const DefaultReserve = 0.05

// Message is an input of Machine.Step.
type Message interface{ admissionMessage() }

// Workers replaces the workers that this router is home of. Requests in flight
// at a removed worker still count until they finish.
type Workers struct {
	Workers []api.Worker
	// Positions divide the rows' batch allowances among the homes. If nil, this
	// router has the full allowances.
	Positions map[api.WorkerID]Position
}

// Rows replaces the table in force.
type Rows struct{ Rows map[api.RowKey]api.Row }

// Load is a worker's report of its load. It lags behind the requests sent.
type Load struct {
	Worker  api.WorkerID
	Running int // requests running
	Waiting int // requests queued
	Leaving bool
	Asked   time.Time
}

// Arrive requests admission. The step returns exactly one Dispatch or Refuse
// for it.
type Arrive struct{ Request routing.Request }

// FirstToken reports that the response to a dispatched request has begun.
type FirstToken struct{ Request api.RequestID }

// Finished reports that a dispatched request no longer uses its worker. It is
// idempotent.
type Finished struct{ Request api.RequestID }

// CacheEvents are consecutive prefix cache events of a worker.
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

// Action is an output of Machine.Step, to be carried out by the caller.
type Action interface{ admissionAction() }

// Dispatch sends the request to the worker.
type Dispatch struct {
	Request  api.RequestID
	Worker   api.WorkerID
	Address  string
	Priority int
}

// Refuse rejects the request, which has not run.
type Refuse struct {
	Request api.RequestID
	Failure *api.Error
}

// Preempt cancels a batch request that is in flight or suspended, so that it can
// be rerun elsewhere. Its slot is free immediately; a later Finished is ignored.
type Preempt struct {
	Request api.RequestID
	Worker  api.WorkerID
}

// Suspend cancels a batch request at its engine, which keeps its progress. A
// Resume or Preempt of the request follows.
type Suspend struct {
	Request api.RequestID
	Worker  api.WorkerID
}

// Resume sends a suspended request to its engine again to continue.
type Resume struct{ Dispatch }

func (Dispatch) admissionAction() {}
func (Refuse) admissionAction()   {}
func (Preempt) admissionAction()  {}
func (Suspend) admissionAction()  {}

// flight is a dispatched request that has not finished.
type flight struct {
	request            api.RequestID
	worker             *workerState
	row                *rowState // row at the time of admission
	class              api.Class
	dispatched         time.Time
	priority           int
	repeatable         bool
	suspendedAt        time.Time // zero while running
	awaitingFirstToken bool      // cleared by FirstToken
	uncachedBlocks     int       // prompt blocks to compute, estimated at dispatch
}

// Machine is the admission state machine of one home router. It performs no I/O,
// reads no clock, and is not safe for concurrent use.
type Machine struct {
	settings        Settings
	workers         map[api.WorkerID]*workerState
	rows            map[api.RowKey]*rowState
	flights         map[api.RequestID]*flight
	online          routing.Chooser
	batch           routing.Chooser
	prefix          *routing.PrefixIndex
	prefillQuantile quantileEstimate
	// positions are those of the last Workers message.
	positions map[api.WorkerID]Position
	withRoom  []routing.Endpoint // scratch buffer: endpoints that accept batch
}

// NewMachine returns a Machine without workers and rows.
func NewMachine(settings Settings) *Machine {
	if settings.BatchPolicy == (BatchPolicy{}) {
		settings.BatchPolicy = DefaultBatchPolicy()
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

// Step handles one message and returns the resulting actions in order.
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
	case QuotaMessage:
		return m.stepCeilings(now, message)
	case Load:
		return m.handleLoad(now, message)
	case Arrive:
		return m.arrive(now, message.Request)
	case FirstToken:
		return m.firstToken(message.Request)
	case Finished:
		return m.finished(message.Request)
	case CacheEvents:
		if m.IsHomeOf(message.Worker) {
			m.prefix.Apply(now, message.Worker, message.Events)
		}
	case Unreachable:
		return m.quarantine(now, message.Worker)
	case ResponseAborted:
		return m.recordAbort(now, message.Worker)
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

// arriveOnline dispatches the request if any worker remains. Batch is suspended
// in the same step, so that the online request never waits for it.
func (m *Machine) arriveOnline(now time.Time, request routing.Request, row *rowState) []Action {
	endpoint, ok := m.online.Choose(request, m.candidates(now, request, row))
	if !ok && len(request.Excluded) > 0 {
		// Every remaining worker has failed once; retrying one beats a refusal.
		request.Excluded = nil
		endpoint, ok = m.online.Choose(request, m.candidates(now, request, row))
	}
	if m.settings.BatchPolicy.Fault == FaultRefuseOnline && row.batchUse > 0 {
		ok = false
	}
	if !ok {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "no worker for row %s", row.key)
	}
	worker := m.workers[api.WorkerID(endpoint.Name)]
	ahead := worker.pendingBlocks
	dispatch := m.dispatch(now, request, row, worker)
	late := m.prefillQuantile.observe(ahead+m.flights[request.ID].uncachedBlocks, m.settings.BatchPolicy.SuspendQuantile)
	return append(m.suspendFor(now, worker, late), dispatch)
}

func (m *Machine) arriveBatch(now time.Time, request routing.Request, row *rowState) []Action {
	if row.batchUse >= row.allowance && m.settings.BatchPolicy.Fault != FaultIgnoreAllowance {
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
		priority:   m.settings.BatchPolicy.priority(request.Class, row.row.Priority),
		dispatched: now, awaitingFirstToken: true, uncachedBlocks: m.uncached(request, worker),
	}
	m.prefix.RecordPrompt(now, worker.worker.ID, request.Prefix)
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
	if !ok || !flight.awaitingFirstToken {
		return nil
	}
	flight.awaitingFirstToken = false
	flight.worker.consecutiveAborts = 0
	flight.worker.prefillDone(flight)
	return m.resumeSuspended(flight.worker)
}

func (m *Machine) finished(request api.RequestID) []Action {
	flight, ok := m.flights[request]
	if !ok {
		return nil
	}
	m.finish(flight)
	return m.resumeSuspended(flight.worker)
}

// finish removes a request from all counts.
func (m *Machine) finish(flight *flight) {
	delete(m.flights, flight.request)
	flight.row.inUse--
	m.releaseCeiling(flight.row)
	if m.settings.BatchPolicy.Fault != FaultLeakSlot || flight.class == api.ClassOnline {
		flight.worker.remove(flight)
	}
	m.removeIfIdle(flight.worker)
}

func (m *Machine) refuse(request routing.Request, code api.ErrorCode, retryAfter time.Duration, format string, arguments ...any) []Action {
	failure := api.NewError("admit request", "", code, api.OutcomeNotRun, format, arguments...)
	failure.RetryAfter = retryAfter
	return []Action{Refuse{Request: request.ID, Failure: failure}}
}
