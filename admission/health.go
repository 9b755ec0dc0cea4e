package admission

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// abortsBeforeQuarantine is the number of consecutive aborted responses before a
// worker is quarantined. A single one may be caused by the request.
const abortsBeforeQuarantine = 2

// Unreachable reports that a connection to a worker failed. The worker gets no
// new request for the quarantine time.
type Unreachable struct{ Worker api.WorkerID }

// ResponseAborted reports that a worker accepted a request and closed the connection
// before its response began. A worker that fails fast looks idle and would
// attract all requests. After abortsBeforeQuarantine consecutive failures it gets
// none for the quarantine time. From then on a single failure suffices until a
// response begins.
type ResponseAborted struct{ Worker api.WorkerID }

func (Unreachable) admissionMessage()     {}
func (ResponseAborted) admissionMessage() {}

// recordAbort counts a response aborted before its first token.
func (m *Machine) recordAbort(now time.Time, worker api.WorkerID) []Action {
	state, ok := m.workers[worker]
	if !ok {
		return nil
	}
	state.consecutiveAborts++
	if state.consecutiveAborts < abortsBeforeQuarantine {
		return nil
	}
	return m.quarantine(now, worker)
}

func (m *Machine) quarantine(now time.Time, worker api.WorkerID) []Action {
	state, ok := m.workers[worker]
	if !ok {
		return nil
	}
	state.quarantinedUntil = now.Add(m.settings.BatchPolicy.Quarantine)
	return m.evict(state, state.suspended)
}
