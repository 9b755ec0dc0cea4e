package fill

import (
	"cmp"
	"time"
)

// Running is an item that runs, as the choice sees it of what gives way.
type Running struct {
	Standing Standing
	Due      time.Time
	Left     time.Duration // that it still has to run
	Lost     time.Duration // run since its last event: gone when it gives way
	Cuts     int           // how often it has given way
	Since    time.Time     // when it began here
	Open     int           // items of its job without a result, with it; 0: not known
}

const (
	// cutCost is what giving way costs an item beside what is lost: it waits for a slot,
	// and its prompt is read anew.
	cutCost = 500 * time.Millisecond
	// nearlyDone items free their slot by themselves.
	nearlyDone = 250 * time.Millisecond
)

// Yields orders items that run: what gives way first comes first.
func Yields(now time.Time, a, b Running) int {
	return cmp.Or(
		cmp.Compare(b.Standing, a.Standing),
		cmp.Compare(a.holds(now), b.holds(now)),
		cmp.Compare(a.Cuts, b.Cuts),
		cmp.Compare(a.Lost, b.Lost),
		b.Since.Compare(a.Since),
	)
}

// holds is 1 for an item that is better finished: it ends soon, its job ends with it, or
// it could not be in time if it gave way once more.
func (r Running) holds(now time.Time) int {
	if r.Left <= nearlyDone || r.Open == 1 || !r.Due.IsZero() && r.Due.Sub(now) < r.Left+r.Lost+cutCost {
		return 1
	}
	return 0
}
