package fill

import "time"

// Item is an item that has no result yet.
type Item struct {
	Due  time.Time     // zero: never
	Left time.Duration // that it still has to run
}

// Standing is how an item stands to when its result is due.
type Standing int

// The standings, in the order in which items are to start.
const (
	Pressed Standing = iota // it has to run now to be in time
	Usual
	Missed // it can't be in time any more
)

const (
	// pressedMargin of an item's own time, and at least leastMargin, is kept for
	// what holds it up.
	pressedMargin = 0.25
	leastMargin   = time.Second
)

// Stand tells how items stand that come in the order in which they are due: one is
// pressed if after all that is due before it the room that batch has on average is
// just enough. Room is in slots.
func Stand(now time.Time, items []Item, room float64) []Standing {
	standing := make([]Standing, len(items))
	work := time.Duration(0)
	for i, item := range items {
		standing[i] = Usual
		if item.Due.IsZero() {
			continue
		}
		left := item.Due.Sub(now)
		if left < item.Left {
			standing[i] = Missed
			continue
		}
		work += item.Left
		needed := item.Left
		if room > 0 {
			needed = max(needed, time.Duration(float64(work)/room))
		}
		if left < needed+max(time.Duration(pressedMargin*float64(item.Left)), leastMargin) {
			standing[i] = Pressed
		}
	}
	return standing
}
