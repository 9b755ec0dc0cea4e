package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

const (
	histogramLowest  = 1                       // µs
	histogramHighest = int64(10 * time.Minute) // clamped below, in µs
	histogramDigits  = 3
)

// onlineMeasure is what callers of a service saw.
type onlineMeasure struct {
	arrived  int
	finished int
	failed   int
	retried  int
	first    *hdrhistogram.Histogram // first token, µs
	between  *hdrhistogram.Histogram // between tokens, µs
}

// measure collects a run's figures; what began within the warmup is left out.
type measure struct {
	from       time.Time
	until      time.Time
	online     map[api.ServiceName]*onlineMeasure
	items      map[api.ServiceName]int // done, by the service they were sent to
	itemsASec  []int                   // done in each second of the run
	offeredAll int
	preempts   int
	suspends   int
}

func newMeasure(scenario Scenario) *measure {
	m := &measure{
		from: sim.Epoch.Add(scenario.Warmup), until: sim.Epoch.Add(scenario.Duration),
		online: map[api.ServiceName]*onlineMeasure{}, items: map[api.ServiceName]int{},
		itemsASec: make([]int, int(scenario.Duration/time.Second)+1),
	}
	for _, service := range scenario.Services {
		m.online[service.Name] = &onlineMeasure{first: newHistogram(), between: newHistogram()}
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest/int64(time.Microsecond), histogramDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), histogramLowest), histogram.HighestTrackableValue()))
}

func (m *measure) counts(at time.Time) bool { return !at.Before(m.from) }

func (m *measure) arrived(service api.ServiceName, began time.Time) {
	if m.counts(began) {
		m.online[service].arrived++
	}
}

func (m *measure) firstToken(service api.ServiceName, began time.Time, took time.Duration) {
	if m.counts(began) {
		record(m.online[service].first, took)
	}
}

func (m *measure) between(service api.ServiceName, now time.Time, gap time.Duration) {
	if m.counts(now) {
		record(m.online[service].between, gap)
	}
}

func (m *measure) finished(service api.ServiceName, began time.Time) {
	if m.counts(began) {
		m.online[service].finished++
	}
}

func (m *measure) failed(service api.ServiceName, began time.Time) {
	if m.counts(began) {
		m.online[service].failed++
	}
}

func (m *measure) retried(service api.ServiceName, began time.Time) {
	if m.counts(began) {
		m.online[service].retried++
	}
}

func (m *measure) offered(_ time.Time, items int) { m.offeredAll += items }

func (m *measure) preempted(now time.Time) {
	if m.counts(now) {
		m.preempts++
	}
}

func (m *measure) suspended(now time.Time) {
	if m.counts(now) {
		m.suspends++
	}
}

func (m *measure) itemDone(now time.Time, item *item) {
	if now.After(m.until) {
		return
	}
	m.itemsASec[int(now.Sub(sim.Epoch)/time.Second)]++
	if m.counts(now) {
		m.items[item.service]++
	}
}

func (m *measure) window() time.Duration { return m.until.Sub(m.from) }
