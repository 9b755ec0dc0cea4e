package admission

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// BatchPolicy is the policy by which batch uses idle slots. docs/design/admission.md
// compares alternatives.
type BatchPolicy struct {
	// Preempt suspends batch requests when online requests need their slots.
	Preempt bool
	// LowerPriority runs batch at the engine's lowest priority.
	LowerPriority bool
	// StartInterval is the minimum interval between two batch requests sent to
	// one worker, so that their prefills do not fill the engine's steps.
	StartInterval time.Duration
	// AvoidPrefill withholds batch requests from a worker while an online request
	// there waits for its first token.
	AvoidPrefill bool
	// StartPressure is the number of online requests waiting for their first
	// token, relative to the row's workers here, above which no batch request is
	// sent, so that batch does not compete with a burst. 1000 or more disables
	// the check.
	StartPressure float64
	// Quarantine is how long an unreachable worker gets no requests.
	Quarantine time.Duration
	// SuspendQuantile is the quantile, from 0 to 1, of prompt blocks to compute
	// before the first token above which an online request suspends all batch at
	// its worker. 1 or more disables this.
	SuspendQuantile float64
	// SuspendLimit is how long a batch request stays suspended before it is
	// preempted, to run elsewhere.
	SuspendLimit time.Duration
	// Fault is injected by tests.
	Fault Fault
}

// Fault is an injected violation of an invariant, with which tests verify their
// checks.
type Fault int

// Faults to inject.
const (
	NoFault                  Fault = iota
	FaultIgnoreAllowance           // batch exceeds its row's allowance
	FaultLeakSlot                  // a cancelled batch request keeps its slot
	FaultInvertPriority            // batch gets the higher priority at the engine
	FaultNoPreemption              // online requests do not preempt batch
	FaultRefuseOnline              // online is refused while batch is in flight
	FaultNeverResume               // suspended requests are never resumed
	FaultCancelNonRepeatable       // requests that are not repeatable are cancelled
)

// DefaultBatchPolicy returns the default policy.
func DefaultBatchPolicy() BatchPolicy {
	return BatchPolicy{
		Preempt: true, LowerPriority: true,
		StartInterval: defaultStartInterval, AvoidPrefill: true,
		StartPressure: DefaultStartPressure, Quarantine: defaultQuarantine,
		SuspendQuantile: defaultSuspendQuantile, SuspendLimit: defaultSuspendLimit,
	}
}

// DefaultStartPressure trades online tail latency for batch throughput. See
// docs/design/admission.md.
const DefaultStartPressure = 0.2

// GreedyBatchPolicy returns a baseline policy that dispatches batch like online
// wherever a slot is free.
func GreedyBatchPolicy() BatchPolicy {
	return BatchPolicy{Quarantine: defaultQuarantine, SuspendQuantile: 1, StartPressure: unboundedPressure}
}

const (
	defaultStartInterval = 10 * time.Millisecond
	defaultQuarantine    = time.Second

	defaultSuspendQuantile = 0.95
	defaultSuspendLimit    = 2 * time.Second

	unboundedPressure = 1000
)

// priority returns the engine priority of a request: 0 for batch, higher for
// online.
func (f BatchPolicy) priority(class api.Class, row int) int {
	batch := class == api.ClassBatch
	if f.Fault == FaultInvertPriority {
		batch = !batch
	}
	if batch && f.LowerPriority {
		return 0
	}
	return row + 1
}

// room returns how many batch requests may be sent to the worker now.
func (m *Machine) room(now time.Time, state *workerState) int {
	filling := m.settings.BatchPolicy
	if state.worker.Leaving || state.leaving || now.Before(state.quarantinedUntil) {
		return 0
	}
	free := int(float64(state.worker.Slots)*(1-m.settings.Reserve)) - state.inFlight() - state.foreign
	if free <= 0 {
		return 0
	}
	if filling.AvoidPrefill && state.awaitingFirstToken > 0 {
		return 0
	}
	if filling.StartInterval > 0 {
		if now.Sub(state.lastBatchSent) < filling.StartInterval {
			return 0
		}
		return 1
	}
	return free
}

// prefillPressure reports whether the number of online requests waiting for their
// first token exceeds StartPressure.
func (m *Machine) prefillPressure(row *rowState) bool {
	starting := 0
	for _, state := range row.workers {
		starting += state.awaitingFirstToken
	}
	return float64(starting) > m.settings.BatchPolicy.StartPressure*float64(len(row.workers))
}

// Room returns how many batch requests of the row may start now.
func (m *Machine) Room(now time.Time, key api.RowKey) int {
	row, ok := m.rows[key]
	if !ok || !row.inTable {
		return 0
	}
	if m.prefillPressure(row) {
		return 0
	}
	total := 0
	for _, state := range row.workers {
		total += m.room(now, state)
	}
	if m.settings.BatchPolicy.Fault == FaultIgnoreAllowance {
		return total
	}
	return m.ceilingRoom(now, row, min(total, max(row.allowance-row.batchUse, 0)))
}

func (m *Machine) endpointsWithRoom(now time.Time, row *rowState) []routing.Endpoint {
	m.withRoom = m.withRoom[:0]
	if m.prefillPressure(row) {
		return nil
	}
	for i, state := range row.workers {
		if m.room(now, state) > 0 {
			m.withRoom = append(m.withRoom, row.endpoints[i])
		}
	}
	return m.withRoom
}
