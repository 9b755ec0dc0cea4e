package admission

import (
	"slices"
	"time"
)

// tailEstimate follows a quantile of how many blocks of prompt lie before the
// first token of online requests.
type tailEstimate struct{ blocks float64 }

// tailStep is how fast the estimate moves, in blocks a request at the median.
const tailStep = 2.0

// late tells whether a request has more blocks before it than the quantile,
// and moves the estimate.
func (t *tailEstimate) late(blocks int, quantile float64) bool {
	if quantile >= 1 {
		return false
	}
	late := float64(blocks) > t.blocks
	if late {
		t.blocks += tailStep * quantile
	} else {
		t.blocks = max(t.blocks-tailStep*(1-quantile), 0)
	}
	return late
}

// yield makes batch give way to an online request that has just been sent to
// the worker: what passes its slots is suspended, the youngest first, and all
// of it where the request's first token would be among the late ones.
// Requests that may not be repeated stay: the engine's priorities keep online
// before them, and to cancel them would leave their outcome unknown.
func (m *Machine) yield(now time.Time, worker *workerState, late bool) []Action {
	if !m.settings.Filling.Preempt || m.settings.Filling.Fault == FaultNoPreemption {
		return nil
	}
	count := worker.online + len(worker.batch) - worker.worker.Slots
	if late {
		count = len(worker.batch)
	}
	var actions []Action
	for i := len(worker.batch) - 1; i >= 0 && count > 0; i-- {
		flight := worker.batch[i]
		if !flight.repeatable && m.settings.Filling.Fault != FaultCancelOnce {
			continue
		}
		count--
		worker.batch = slices.Delete(worker.batch, i, i+1)
		flight.suspended = now
		worker.suspended = append(worker.suspended, flight)
		actions = append(actions, Suspend{Request: flight.request, Worker: worker.worker.ID})
	}
	worker.refresh()
	return actions
}

// resume sends suspended requests on once no online request waits for its
// first token there, as far as slots are free.
func (m *Machine) resume(worker *workerState) []Action {
	if worker.starting > 0 || len(worker.suspended) == 0 || m.settings.Filling.Fault == FaultForgetSuspended {
		return nil
	}
	if worker.worker.Leaving || worker.leaving || !worker.listed {
		return m.giveUp(worker, worker.suspended)
	}
	count := min(worker.worker.Slots-worker.online-len(worker.batch), len(worker.suspended))
	var actions []Action
	for range max(count, 0) {
		flight := worker.suspended[0]
		worker.suspended = slices.Delete(worker.suspended, 0, 1)
		flight.suspended = time.Time{}
		worker.batch = append(worker.batch, flight)
		actions = append(actions, Resume{Dispatch: flight.dispatch()})
	}
	worker.refresh()
	return actions
}

// overdue gives the requests that have been suspended for too long.
func (m *Machine) overdue(now time.Time, worker *workerState) []*flight {
	var overdue []*flight
	if m.settings.Filling.Fault == FaultForgetSuspended {
		return nil
	}
	for _, flight := range worker.suspended {
		if now.Sub(flight.suspended) >= m.settings.Filling.SuspendLimit {
			overdue = append(overdue, flight)
		}
	}
	return overdue
}

// giveUp ends suspended requests here, so that they run elsewhere.
func (m *Machine) giveUp(worker *workerState, flights []*flight) []Action {
	var actions []Action
	for _, flight := range slices.Clone(flights) {
		m.finish(flight)
		actions = append(actions, Preempt{Request: flight.request, Worker: worker.worker.ID})
	}
	return actions
}
