// Package admission decides at a home router whether a request runs now and at
// which of the workers that it is home of. Online requests are never queued
// behind batch: they are sent at once or refused at once. Batch requests only
// fill idle room under their row's allowance and are preempted when online
// requests need the room.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
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
}

// DefaultReserve leaves an eighth of each worker for the start of a burst.
const DefaultReserve = 0.125

// Message is what a Machine is stepped with.
type Message interface{ admissionMessage() }

// Workers replaces the workers that this router is home of.
type Workers struct{ Workers []api.Worker }

// Rows replaces the table in force.
type Rows struct{ Rows map[api.RowKey]api.Row }

// Load is a worker's own lagging report.
type Load struct {
	Worker  api.WorkerID
	Running int // requests it runs
	Waiting int // requests in its queue
	Asked   time.Time
}

// Arrive asks for a request to be admitted; the step answers it with exactly
// one Dispatch or Refuse.
type Arrive struct{ Request routing.Request }

// Finished says that a dispatched request no longer uses its worker.
type Finished struct{ Request api.RequestID }

func (Workers) admissionMessage()  {}
func (Rows) admissionMessage()     {}
func (Load) admissionMessage()     {}
func (Arrive) admissionMessage()   {}
func (Finished) admissionMessage() {}

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

// Preempt cancels a batch request in flight to make room.
type Preempt struct {
	Request api.RequestID
	Worker  api.WorkerID
}

func (Dispatch) admissionAction() {}
func (Refuse) admissionAction()   {}
func (Preempt) admissionAction()  {}

type workerState struct {
	worker api.Worker
	online int
	batch  []api.RequestID // oldest first
	load   Load
}

type flight struct {
	worker api.WorkerID
	class  api.Class
	key    api.RowKey
}

// Machine is the admission state machine of one home router.
type Machine struct {
	settings Settings
	workers  map[api.WorkerID]*workerState
	rows     map[api.RowKey]api.Row
	flights  map[api.RequestID]flight
	inUse    map[api.RowKey]int
	batchUse map[api.RowKey]int
}

// NewMachine starts with no worker and no row.
func NewMachine(settings Settings) *Machine {
	return &Machine{
		settings: settings,
		workers:  map[api.WorkerID]*workerState{},
		rows:     map[api.RowKey]api.Row{},
		flights:  map[api.RequestID]flight{},
		inUse:    map[api.RowKey]int{},
		batchUse: map[api.RowKey]int{},
	}
}

// Step takes one message.
func (m *Machine) Step(_ time.Time, message Message) []Action {
	switch message := message.(type) {
	case Workers:
		m.setWorkers(message.Workers)
	case Rows:
		m.rows = message.Rows
	case Load:
		if state, ok := m.workers[message.Worker]; ok {
			state.load = message
		}
	case Arrive:
		return m.arrive(message.Request)
	case Finished:
		m.finish(message.Request)
	}
	return nil
}

func (m *Machine) setWorkers(workers []api.Worker) {
	next := map[api.WorkerID]*workerState{}
	for _, worker := range workers {
		state, ok := m.workers[worker.ID]
		if !ok {
			state = &workerState{}
		}
		state.worker = worker
		next[worker.ID] = state
	}
	m.workers = next
}

func (m *Machine) arrive(request routing.Request) []Action {
	key := api.RowKey{Service: request.Service, Place: request.Place}
	row, ok := m.rows[key]
	if !ok {
		return m.refuse(request, api.CodeUnknownService, 0, "no row %s in the table", key)
	}
	if row.CeilingConcurrency > 0 && m.inUse[key] >= row.CeilingConcurrency {
		return m.refuse(request, api.CodeCeiling, m.settings.RetryAfter, "row %s has %d requests in flight", key, m.inUse[key])
	}
	if request.Class == api.ClassBatch {
		return m.arriveBatch(request, row)
	}
	endpoint, ok := m.settings.Online.Choose(request, m.endpoints(nil))
	if !ok {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "no worker for row %s", key)
	}
	actions := m.dispatch(request, row, endpoint)
	return append(m.preempt(api.WorkerID(endpoint.Name)), actions...)
}

func (m *Machine) arriveBatch(request routing.Request, row api.Row) []Action {
	if m.batchUse[row.Key()] >= row.BatchAllowance {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "batch allowance %d of row %s is in use", row.BatchAllowance, row.Key())
	}
	endpoint, ok := m.settings.Batch.Choose(request, m.endpoints(m.hasRoom))
	if !ok {
		return m.refuse(request, api.CodeNoCapacity, m.settings.RetryAfter, "no idle room for row %s", row.Key())
	}
	return m.dispatch(request, row, endpoint)
}

// hasRoom is true when one more batch request leaves the reserve free.
func (m *Machine) hasRoom(state *workerState) bool {
	return m.room(state) > 0
}

func (m *Machine) room(state *workerState) int {
	usable := int(float64(state.worker.Slots) * (1 - m.settings.Reserve))
	return usable - state.online - len(state.batch)
}

// Room tells how many batch requests of the row could start now.
func (m *Machine) Room(key api.RowKey) int {
	total := 0
	for _, state := range m.workers {
		if state.worker.Leaving || state.worker.Service != key.Service || state.worker.Place != key.Place {
			continue
		}
		total += max(m.room(state), 0)
	}
	return min(total, max(m.rows[key].BatchAllowance-m.batchUse[key], 0))
}

// Summaries reports each row's load at this home, sorted by row.
func (m *Machine) Summaries() []api.ServiceSummary {
	byKey := map[api.RowKey]*api.ServiceSummary{}
	for _, state := range m.workers {
		key := api.RowKey{Service: state.worker.Service, Place: state.worker.Place}
		summary, ok := byKey[key]
		if !ok {
			summary = &api.ServiceSummary{Service: key.Service, Place: key.Place}
			byKey[key] = summary
		}
		summary.Online += state.online
		summary.Batch += len(state.batch)
		if !state.worker.Leaving {
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

func (m *Machine) endpoints(keep func(*workerState) bool) []routing.Endpoint {
	endpoints := make([]routing.Endpoint, 0, len(m.workers))
	for id, state := range m.workers {
		if keep != nil && !keep(state) {
			continue
		}
		endpoints = append(endpoints, routing.Endpoint{
			Name: string(id), Address: state.worker.Address,
			Key:      api.RowKey{Service: state.worker.Service, Place: state.worker.Place},
			Location: state.worker.Location, Slots: state.worker.Slots,
			Online: state.online, Batch: len(state.batch), Leaving: state.worker.Leaving,
		})
	}
	slices.SortFunc(endpoints, func(a, b routing.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return endpoints
}

func (m *Machine) dispatch(request routing.Request, row api.Row, endpoint routing.Endpoint) []Action {
	worker := api.WorkerID(endpoint.Name)
	m.flights[request.ID] = flight{worker: worker, class: request.Class, key: row.Key()}
	m.inUse[row.Key()]++
	priority := row.Priority + 1
	if request.Class == api.ClassBatch {
		priority = 0
		m.batchUse[row.Key()]++
		m.workers[worker].batch = append(m.workers[worker].batch, request.ID)
	} else {
		m.workers[worker].online++
	}
	return []Action{Dispatch{Request: request.ID, Worker: worker, Address: endpoint.Address, Priority: priority}}
}

// preempt cancels the youngest batch requests of the worker until its load is
// within its slots again.
func (m *Machine) preempt(worker api.WorkerID) []Action {
	state := m.workers[worker]
	excess := min(state.online+len(state.batch)-state.worker.Slots, len(state.batch))
	var actions []Action
	for range max(excess, 0) {
		request := state.batch[len(state.batch)-1]
		m.finish(request)
		actions = append(actions, Preempt{Request: request, Worker: worker})
	}
	return actions
}

func (m *Machine) finish(request api.RequestID) {
	flight, ok := m.flights[request]
	if !ok {
		return
	}
	delete(m.flights, request)
	m.inUse[flight.key]--
	state := m.workers[flight.worker]
	if flight.class == api.ClassBatch {
		m.batchUse[flight.key]--
		if state != nil {
			state.batch = slices.DeleteFunc(state.batch, func(id api.RequestID) bool { return id == request })
		}
	} else if state != nil {
		state.online--
	}
}

func (m *Machine) refuse(request routing.Request, code api.ErrorCode, retryAfter time.Duration, format string, arguments ...any) []Action {
	failure := api.NewError("admit request", "", code, api.OutcomeNotRun, format, arguments...)
	failure.RetryAfter = retryAfter
	return []Action{Refuse{Request: request.ID, Failure: failure}}
}
