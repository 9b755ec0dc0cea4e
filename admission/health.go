package admission

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// brokenBeforeQuarantine is how many answers in a row must break off before a
// worker is left alone: one may be the request's own doing.
const brokenBeforeQuarantine = 2

// Unreachable says that a worker could not be connected to. It gets no
// new request for Filling.Quarantine.
type Unreachable struct{ Worker api.WorkerID }

// Broken says that a worker took a request and broke off before its answer
// began. A worker that does so fast looks idle and would draw all requests to
// itself; after some in a row it gets none for Filling.Quarantine, and after
// that one more suffices until an answer begins again.
type Broken struct{ Worker api.WorkerID }

func (Unreachable) admissionMessage() {}
func (Broken) admissionMessage()      {}

// broke counts an answer that broke off.
func (m *Machine) broke(now time.Time, worker api.WorkerID) []Action {
	state, ok := m.workers[worker]
	if !ok {
		return nil
	}
	state.broken++
	if state.broken < brokenBeforeQuarantine {
		return nil
	}
	return m.quarantine(now, worker)
}

func (m *Machine) quarantine(now time.Time, worker api.WorkerID) []Action {
	state, ok := m.workers[worker]
	if !ok {
		return nil
	}
	state.quarantined = now.Add(m.settings.Filling.Quarantine)
	return m.giveUp(state, state.suspended)
}
