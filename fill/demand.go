// Package fill decides how much batch runs beside online requests: how many slots
// stay free for those that come before batch can give way (Demand), which items
// have to run now to be in time (Pressed), and how many items each worker has room
// for or too many of (Worker). It has no input or output and no clock.
package fill

import (
	"math"
	"time"
)

const (
	// reaction is how long batch takes to give way to a request: word of it comes,
	// and a slot is free.
	reaction = 150 * time.Millisecond
	// noise is how many standard deviations of the number of requests, which
	// varies as its root when nothing changes, are kept free.
	noise = 0.5
)

// Demand sees how many slots online requests take, and how fast that rises. The
// zero value has seen nothing.
type Demand struct {
	recent []observation // within reaction, the latest last
	rhythm Rhythm
}

type observation struct {
	at   time.Time
	held int
}

// Observe takes how many online requests the workers hold now.
func (d *Demand) Observe(now time.Time, held int) {
	d.rhythm.Observe(now, held)
	d.recent = append(d.recent, observation{at: now, held: held})
	for now.Sub(d.recent[0].at) > reaction {
		d.recent = d.recent[1:]
	}
}

// Rhythm is what was learned of its swings.
func (d *Demand) Rhythm() *Rhythm { return &d.rhythm }

// Reserve is how many of the slots are to stay free now: for as many requests more
// as have come within the last reaction, and for what their number varies by.
func (d *Demand) Reserve(slots int) float64 {
	if len(d.recent) == 0 {
		return 0
	}
	held := d.recent[len(d.recent)-1].held
	least := held
	for _, each := range d.recent {
		least = min(least, each.held)
	}
	expected := math.Max(float64(held-least), noise*math.Sqrt(float64(held)))
	return math.Min(expected, float64(slots))
}
