package fill

import (
	"cmp"
	"time"
)

// Running is a running item as a candidate for preemption.
type Running struct {
	Standing Standing
	Due      time.Time
	Left     time.Duration // expected remaining run time
	Lost     time.Duration // run time since its last event, lost on preemption
	Cuts     int           // number of preemptions so far
	Since    time.Time     // start of this run
	Open     int           // unfinished items of its job including this one; 0 if unknown
}

const (
	// preemptionCost is the delay of a preempted item in addition to its lost run time: the
	// wait for a slot and another prefill.
	preemptionCost = 500 * time.Millisecond
	// nearCompletion is the remaining run time below which an item is left to finish.
	nearCompletion = 250 * time.Millisecond
)

// Yields compares running items for sorting. Items to preempt first come first.
func Yields(now time.Time, a, b Running) int {
	return cmp.Or(
		cmp.Compare(b.Standing, a.Standing),
		cmp.Compare(a.protected(now), b.protected(now)),
		cmp.Compare(a.Cuts, b.Cuts),
		cmp.Compare(a.Lost, b.Lost),
		b.Since.Compare(a.Since),
	)
}

// protected returns 1 for an item that should rather finish: it is nearly complete, it is the
// last one of its job, or it would miss its due time after a preemption. Otherwise it
// returns 0.
func (r Running) protected(now time.Time) int {
	if r.Left <= nearCompletion || r.Open == 1 || !r.Due.IsZero() && r.Due.Sub(now) < r.Left+r.Lost+preemptionCost {
		return 1
	}
	return 0
}
