package admission

import (
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/routing"
)

// Filling says how batch takes idle room. docs/design/admission.md weighs the
// ways with figures.
type Filling struct {
	// Preempt cancels batch requests when online requests need the room.
	Preempt bool
	// LowerPriority gives batch the engine's lowest priority.
	LowerPriority bool
	// StartInterval is the least time between two batch requests sent to one
	// worker, so that their prompts do not fill the engine's steps.
	StartInterval time.Duration
	// StartQuiet sends no batch request to a worker at which an online request
	// has no first token yet.
	StartQuiet bool
	// StartPressure bounds the online requests without a first token while which
	// batch requests are sent, as a share of the row's workers here: in a burst
	// no more prompts of batch come between. 1000 and more is no bound.
	StartPressure float64
	// Quarantine is how long a worker that could not be reached gets nothing.
	Quarantine time.Duration
	// SuspendQuantile bounds the online requests for which batch is suspended:
	// those whose first token is expected later than that of this share of
	// them, 0 to 1. 1 or more suspends for none.
	SuspendQuantile float64
	// SuspendLimit is how long a batch request stays suspended before it is
	// given back, to run elsewhere.
	SuspendLimit time.Duration
	// Fault is planted by tests; none otherwise.
	Fault Fault
}

// Fault breaks one invariant, so that a test can show that its check sees it.
type Fault int

// The planted faults.
const (
	NoFault              Fault = iota
	FaultIgnoreAllowance       // batch passes its row's allowance
	FaultLeakSlot              // a cancelled batch request keeps its slot
	FaultInvertPriority        // batch goes first at the engine
	FaultNoPreemption          // online does not push batch out of the slots
	FaultDelayOnline           // online is refused while batch fills the slots
	FaultForgetSuspended       // a suspended request is never sent again
	FaultCancelOnce            // requests that may not be repeated are cancelled too
)

// DefaultFilling is what a router does.
func DefaultFilling() Filling {
	return Filling{
		Preempt: true, LowerPriority: true,
		StartInterval: defaultStartInterval, StartQuiet: true,
		StartPressure: DefaultStartPressure, Quarantine: defaultQuarantine,
		SuspendQuantile: defaultSuspendQuantile, SuspendLimit: defaultSuspendLimit,
	}
}

// DefaultStartPressure weighs the online tail and batch (docs/design/admission.md).
const DefaultStartPressure = 0.2

// FillFreeSlots treats batch like online wherever a slot is free; it is there
// to compare with.
func FillFreeSlots() Filling {
	return Filling{Quarantine: defaultQuarantine, SuspendQuantile: 1, StartPressure: unbounded}
}

const (
	defaultStartInterval = 10 * time.Millisecond
	defaultQuarantine    = time.Second

	defaultSuspendQuantile = 0.95
	defaultSuspendLimit    = 2 * time.Second

	unbounded = 1000
)

// priority is the engine's priority of a request: batch has 0, online more.
func (f Filling) priority(class api.Class, row int) int {
	batch := class == api.ClassBatch
	if f.Fault == FaultInvertPriority {
		batch = !batch
	}
	if batch && f.LowerPriority {
		return 0
	}
	return row + 1
}

// room tells how many batch requests could be sent to the worker now.
func (m *Machine) room(now time.Time, state *workerState) int {
	filling := m.settings.Filling
	if state.worker.Leaving || state.leaving || now.Before(state.quarantined) {
		return 0
	}
	free := int(float64(state.worker.Slots)*(1-m.settings.Reserve)) - state.inFlight() - state.foreign
	if free <= 0 {
		return 0
	}
	if filling.StartQuiet && state.starting > 0 {
		return 0
	}
	if filling.StartInterval > 0 {
		if now.Sub(state.lastBatch) < filling.StartInterval {
			return 0
		}
		return 1
	}
	return free
}

// pressed tells whether so many online requests wait for their first token that
// no batch request is sent.
func (m *Machine) pressed(row *rowState) bool {
	starting := 0
	for _, state := range row.workers {
		starting += state.starting
	}
	return float64(starting) > m.settings.Filling.StartPressure*float64(len(row.workers))
}

// Room tells how many batch requests of the row could start now.
func (m *Machine) Room(now time.Time, key api.RowKey) int {
	row, ok := m.rows[key]
	if !ok || !row.inTable {
		return 0
	}
	if m.pressed(row) {
		return 0
	}
	total := 0
	for _, state := range row.workers {
		total += m.room(now, state)
	}
	if m.settings.Filling.Fault == FaultIgnoreAllowance {
		return total
	}
	return m.ceilingRoom(now, row, min(total, max(row.allowance-row.batchUse, 0)))
}

func (m *Machine) endpointsWithRoom(now time.Time, row *rowState) []routing.Endpoint {
	m.roomy = m.roomy[:0]
	if m.pressed(row) {
		return nil
	}
	for i, state := range row.workers {
		if m.room(now, state) > 0 {
			m.roomy = append(m.roomy, row.endpoints[i])
		}
	}
	return m.roomy
}
