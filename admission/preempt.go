package admission

import (
	"slices"
	"time"
)

// quantileEstimate is a stochastic estimate of a quantile of the prompt blocks
// to compute before the first token of an online request.
type quantileEstimate struct{ blocks float64 }

// quantileStep is the step of the estimate, in blocks.
const quantileStep = 2.0

// observe reports whether blocks exceeds the estimate, and updates it.
func (t *quantileEstimate) observe(blocks int, quantile float64) bool {
	if quantile >= 1 {
		return false
	}
	late := float64(blocks) > t.blocks
	if late {
		t.blocks += quantileStep * quantile
	} else {
		t.blocks = max(t.blocks-quantileStep*(1-quantile), 0)
	}
	return late
}

// suspendFor suspends batch requests for an online request that was just
// dispatched to the worker: those beyond the slots, youngest first, or all of
// them if the first token of the request is expected to be late. Requests that
// are not repeatable stay, since cancelling them would leave their outcome
// unknown; the engine runs them at a lower priority than online requests.
func (m *Machine) suspendFor(now time.Time, worker *workerState, late bool) []Action {
	if !m.settings.BatchPolicy.Preempt || m.settings.BatchPolicy.Fault == FaultNoPreemption {
		return nil
	}
	count := worker.online + len(worker.batch) - worker.worker.Slots
	if late {
		count = len(worker.batch)
	}
	var actions []Action
	for i := len(worker.batch) - 1; i >= 0 && count > 0; i-- {
		flight := worker.batch[i]
		if !flight.repeatable && m.settings.BatchPolicy.Fault != FaultCancelNonRepeatable {
			continue
		}
		count--
		worker.batch = slices.Delete(worker.batch, i, i+1)
		flight.suspendedAt = now
		worker.suspended = append(worker.suspended, flight)
		actions = append(actions, Suspend{Request: flight.request, Worker: worker.worker.ID})
	}
	worker.refreshEndpoint()
	return actions
}

// resumeSuspended resumes suspended requests in free slots once no online request
// at the worker waits for its first token.
func (m *Machine) resumeSuspended(worker *workerState) []Action {
	if worker.awaitingFirstToken > 0 || len(worker.suspended) == 0 || m.settings.BatchPolicy.Fault == FaultNeverResume {
		return nil
	}
	if worker.worker.Leaving || worker.leaving || !worker.listed {
		return m.evict(worker, worker.suspended)
	}
	count := min(worker.worker.Slots-worker.online-len(worker.batch), len(worker.suspended))
	var actions []Action
	for range max(count, 0) {
		flight := worker.suspended[0]
		worker.suspended = slices.Delete(worker.suspended, 0, 1)
		flight.suspendedAt = time.Time{}
		worker.batch = append(worker.batch, flight)
		actions = append(actions, Resume{Dispatch: flight.dispatch()})
	}
	worker.refreshEndpoint()
	return actions
}

// overdueSuspensions returns the requests suspended for longer than SuspendLimit.
func (m *Machine) overdueSuspensions(now time.Time, worker *workerState) []*flight {
	var overdue []*flight
	if m.settings.BatchPolicy.Fault == FaultNeverResume {
		return nil
	}
	for _, flight := range worker.suspended {
		if now.Sub(flight.suspendedAt) >= m.settings.BatchPolicy.SuspendLimit {
			overdue = append(overdue, flight)
		}
	}
	return overdue
}

// evict preempts suspended requests, so that they run elsewhere.
func (m *Machine) evict(worker *workerState, flights []*flight) []Action {
	var actions []Action
	for _, flight := range slices.Clone(flights) {
		m.finish(flight)
		actions = append(actions, Preempt{Request: flight.request, Worker: worker.worker.ID})
	}
	return actions
}
