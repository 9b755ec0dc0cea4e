package fill

import "time"

// Item is an unfinished batch item.
type Item struct {
	Due       time.Time     // zero if it has no due time
	Remaining time.Duration // expected remaining run time
}

// Urgency is the urgency of an item with respect to its due time.
type Urgency int

// The values are in the order in which items start.
const (
	Urgent Urgency = iota // has to run now to finish by its due time
	Normal
	Late // can no longer finish by its due time
)

const (
	// urgencyMargin is the slack for delays as a share of the remaining run time, at least
	// minMargin.
	urgencyMargin = 0.25
	minMargin     = time.Second
)

// Urgencies returns the urgency of each item. The items must be sorted by due time. An item is
// Urgent if the room, the average number of slots available to batch, is just enough to
// finish it after all items that are due before it.
func Urgencies(now time.Time, items []Item, room float64) []Urgency {
	standing := make([]Urgency, len(items))
	work := time.Duration(0)
	for i, item := range items {
		standing[i] = Normal
		if item.Due.IsZero() {
			continue
		}
		left := item.Due.Sub(now)
		if left < item.Remaining {
			standing[i] = Late
			continue
		}
		work += item.Remaining
		needed := item.Remaining
		if room > 0 {
			needed = max(needed, time.Duration(float64(work)/room))
		}
		if left < needed+max(time.Duration(urgencyMargin*float64(item.Remaining)), minMargin) {
			standing[i] = Urgent
		}
	}
	return standing
}
