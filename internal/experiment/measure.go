package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/sim"
)

const (
	histogramMin     = 1                       // µs
	histogramMax     = int64(10 * time.Minute) // converted to µs in newHistogram
	histogramFigures = 3
)

// onlineMeasure holds the measurements seen by callers of a service.
type onlineMeasure struct {
	arrived  int
	finished int
	failed   int
	retried  int
	first    *hdrhistogram.Histogram // time to first token, µs
	between  *hdrhistogram.Histogram // inter-token latency, µs
}

// measure collects the measurements of a run, excluding the warmup.
type measure struct {
	from           time.Time
	until          time.Time
	online         map[api.ServiceName]*onlineMeasure
	items          map[api.ServiceName]int // completed items, by destination service
	itemsPerSecond []int                   // completed items in each second of the run
	itemsOffered   int
	preemptions    int
	suspensions    int
}

func newMeasure(scenario Scenario) *measure {
	m := &measure{
		from: sim.Epoch.Add(scenario.Warmup), until: sim.Epoch.Add(scenario.Duration),
		online: map[api.ServiceName]*onlineMeasure{}, items: map[api.ServiceName]int{},
		itemsPerSecond: make([]int, int(scenario.Duration/time.Second)+1),
	}
	for _, service := range scenario.Services {
		m.online[service.Name] = &onlineMeasure{first: newHistogram(), between: newHistogram()}
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax/int64(time.Microsecond), histogramFigures)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), histogramMin), histogram.HighestTrackableValue()))
}

func (m *measure) inWindow(at time.Time) bool { return !at.Before(m.from) }

func (m *measure) arrived(service api.ServiceName, began time.Time) {
	if m.inWindow(began) {
		m.online[service].arrived++
	}
}

func (m *measure) firstToken(service api.ServiceName, began time.Time, took time.Duration) {
	if m.inWindow(began) {
		record(m.online[service].first, took)
	}
}

func (m *measure) between(service api.ServiceName, now time.Time, gap time.Duration) {
	if m.inWindow(now) {
		record(m.online[service].between, gap)
	}
}

func (m *measure) finished(service api.ServiceName, began time.Time) {
	if m.inWindow(began) {
		m.online[service].finished++
	}
}

func (m *measure) failed(service api.ServiceName, began time.Time) {
	if m.inWindow(began) {
		m.online[service].failed++
	}
}

func (m *measure) retried(service api.ServiceName, began time.Time) {
	if m.inWindow(began) {
		m.online[service].retried++
	}
}

func (m *measure) offered(_ time.Time, items int) { m.itemsOffered += items }

func (m *measure) preempted(now time.Time) {
	if m.inWindow(now) {
		m.preemptions++
	}
}

func (m *measure) suspended(now time.Time) {
	if m.inWindow(now) {
		m.suspensions++
	}
}

func (m *measure) itemDone(now time.Time, item *item) {
	if now.After(m.until) {
		return
	}
	m.itemsPerSecond[int(now.Sub(sim.Epoch)/time.Second)]++
	if m.inWindow(now) {
		m.items[item.service]++
	}
}

func (m *measure) window() time.Duration { return m.until.Sub(m.from) }
