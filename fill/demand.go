// Package fill schedules batch items into slots that online requests leave idle (backfill).
// It decides how many slots to reserve for requests that arrive before an item can be
// preempted, which items have to run now to finish by their due time, and how many items
// may start or have to be preempted at each worker.
//
// The package performs no I/O and reads no clock. Its types are not safe for concurrent
// use.
package fill

import (
	"math"
	"time"
)

const (
	// preemptionLatency is the time from the arrival of a request until a preempted item
	// has released its slot.
	preemptionLatency = 150 * time.Millisecond
	// reserveStdDevs is the minimum reserve, in standard deviations of the number of
	// requests, which is assumed to be Poisson distributed.
	reserveStdDevs = 0.5
)

// Demand tracks the number of online requests and how fast it grows. The zero value is ready
// to use.
type Demand struct {
	recent   []observation // within preemptionLatency, oldest first
	forecast Forecast
}

type observation struct {
	at   time.Time
	held int
}

// Observe records the number of online requests at the workers.
func (d *Demand) Observe(now time.Time, held int) {
	d.forecast.Observe(now, held)
	d.recent = append(d.recent, observation{at: now, held: held})
	for now.Sub(d.recent[0].at) > preemptionLatency {
		d.recent = d.recent[1:]
	}
}

// Forecast returns the detected periodicity of the demand.
func (d *Demand) Forecast() *Forecast { return &d.forecast }

// Reserve returns how many of the slots to keep free now: the increase within the last
// preemption latency, and at least the random variation of the number of requests.
func (d *Demand) Reserve(slots int) float64 {
	if len(d.recent) == 0 {
		return 0
	}
	held := d.recent[len(d.recent)-1].held
	lowest := held
	for _, each := range d.recent {
		lowest = min(lowest, each.held)
	}
	expected := math.Max(float64(held-lowest), reserveStdDevs*math.Sqrt(float64(held)))
	return math.Min(expected, float64(slots))
}
