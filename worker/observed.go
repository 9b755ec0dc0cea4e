package worker

import (
	"slices"
	"time"
)

// Parameters of the detection of slow workers.
const (
	// intervalTTL is how long observed event intervals stay valid without a new one. A
	// worker avoided because of them is then tried again.
	intervalTTL = 10 * time.Second
	// minIntervalSamples is the number of streams required per worker, and minIntervalPeers
	// the number of workers with as many, before workers are compared.
	minIntervalSamples = 6
	minIntervalPeers   = 3
	// slownessThreshold is the ratio of observed to expected interval from which a worker
	// counts as slow. Short interference and differences between requests stay below it when
	// averaged over several streams.
	slownessThreshold = 2.0
	// baselineInterval is how long a computed baseline is reused.
	baselineInterval = 200 * time.Millisecond
)

// intervalMean is the moving average of the time between two stream events of a worker. The
// zero value has no samples.
type intervalMean struct {
	mean    float64 // in seconds
	samples int
	at      time.Time
}

func (s intervalMean) known(now time.Time) bool {
	return s.samples >= minIntervalSamples && now.Sub(s.at) < intervalTTL
}

// intervalBaseline is the lower median of the pace-normalized event intervals of a service's
// workers.
type intervalBaseline struct {
	at         time.Time
	interval   float64 // seconds at the usual pace; 0 if too few workers are known
	hasOutlier bool    // at least one worker exceeds slownessThreshold
}

// RecordEventInterval records the mean time between two events of a stream from a worker.
// Non-positive values are ignored.
func (p *Pool) RecordEventInterval(at time.Time, id string, step time.Duration) {
	e, ok := p.entries[id]
	if !ok || step <= 0 {
		return
	}
	s := &e.eventInterval
	if s.at.IsZero() {
		r := p.index(e.Service)
		r.withInterval = append(r.withInterval, e)
	}
	if s.samples > 0 && at.Sub(s.at) >= intervalTTL {
		*s = intervalMean{}
	}
	s.samples = min(s.samples+1, maxPaceSamples)
	s.mean += (step.Seconds() - s.mean) / float64(s.samples)
	if s.at.IsZero() || at.After(s.at) {
		s.at = at
	}
}

// normalizedInterval returns the worker's event interval divided by its pace, if known.
func (e *entry) normalizedInterval(now time.Time) float64 {
	if e.pace.known(now) {
		return e.eventInterval.mean / e.pace.stable
	}
	return e.eventInterval.mean
}

// baseline returns the baseline of a service, recomputed if it has expired.
func (p *Pool) baseline(now time.Time, service string) intervalBaseline {
	kept, ok := p.baselines[service]
	if elapsed := now.Sub(kept.at); ok && kept.interval > 0 && elapsed >= 0 && elapsed < baselineInterval {
		return kept
	}
	var list []float64
	for _, e := range p.index(service).withInterval {
		if e.eventInterval.known(now) {
			list = append(list, e.normalizedInterval(now))
		}
	}
	kept = intervalBaseline{at: now}
	if len(list) >= minIntervalPeers {
		slices.Sort(list)
		kept.interval = list[(len(list)-1)/2]
		kept.hasOutlier = list[len(list)-1] >= slownessThreshold*kept.interval
	}
	p.baselines[service] = kept
	return kept
}

// slowness implements Slowness for a known baseline.
func (p *Pool) slowness(now time.Time, e *entry, baseline intervalBaseline) float64 {
	if !baseline.hasOutlier || !e.eventInterval.known(now) {
		return 1
	}
	if ratio := e.normalizedInterval(now) / baseline.interval; ratio >= slownessThreshold {
		return min(ratio, maxPace)
	}
	return 1
}

// Slowness returns the ratio of a worker's observed event interval to the one expected from
// its pace and its peers, or 1 if that is below the threshold.
func (p *Pool) Slowness(now time.Time, id string) float64 {
	e, ok := p.entries[id]
	if !ok {
		return 1
	}
	return p.slowness(now, e, p.baseline(now, e.Service))
}
