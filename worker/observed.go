package worker

import (
	"slices"
	"time"
)

// What an observed time is judged by.
const (
	// stepLife is how long the observed steps of a worker are believed without a newer
	// one; a worker that is avoided for them is then tried again.
	stepLife = 10 * time.Second
	// leastSteps streams are needed of a worker, and leastStepPeers workers of a service
	// with as many, before it is compared with them.
	leastSteps     = 6
	leastStepPeers = 3
	// beyondWord is from which multiple of what its peers' times and its own word let
	// expect a worker is taken for slow: moments of others on its machine, and
	// differences between requests, stay below it in the mean of some streams.
	beyondWord = 2.0
	// typicalInterval is how long what is typical of a service's workers is kept, once it
	// is known.
	typicalInterval = 200 * time.Millisecond
)

// steps is the mean time between two events of streams from one worker, as they were
// observed. The zero value has none.
type steps struct {
	mean    float64 // seconds
	samples int
	at      time.Time
}

func (s steps) known(now time.Time) bool { return s.samples >= leastSteps && now.Sub(s.at) < stepLife }

// typical is the middle of a service's workers' observed steps, each over the pace that
// the worker tells.
type typical struct {
	at    time.Time
	step  float64 // seconds at the usual pace; 0: too few are known
	slows bool    // a worker is far beyond it
}

// ObserveStep takes the mean time between two events of a stream that a worker gave.
func (p *Pool) ObserveStep(at time.Time, id string, step time.Duration) {
	e, ok := p.entries[id]
	if !ok || step <= 0 {
		return
	}
	s := &e.steps
	if s.at.IsZero() {
		r := p.roster(e.Service)
		r.timed = append(r.timed, e)
	}
	if s.samples > 0 && at.Sub(s.at) >= stepLife {
		*s = steps{}
	}
	s.samples = min(s.samples+1, paceSamples)
	s.mean += (step.Seconds() - s.mean) / float64(s.samples)
	if s.at.IsZero() || at.After(s.at) {
		s.at = at
	}
}

// stepOf is a worker's observed step at the usual pace: without what its word explains.
func (e *entry) stepOf(now time.Time) float64 {
	if e.pace.known(now) {
		return e.steps.mean / e.pace.slow
	}
	return e.steps.mean
}

// typicalOf brings up to date what is typical of a service.
func (p *Pool) typicalOf(now time.Time, service string) typical {
	kept, ok := p.typical[service]
	if passed := now.Sub(kept.at); ok && kept.step > 0 && passed >= 0 && passed < typicalInterval {
		return kept
	}
	var list []float64
	for _, e := range p.roster(service).timed {
		if e.steps.known(now) {
			list = append(list, e.stepOf(now))
		}
	}
	kept = typical{at: now}
	if len(list) >= leastStepPeers {
		slices.Sort(list)
		kept.step = list[(len(list)-1)/2]
		kept.slows = list[len(list)-1] >= beyondWord*kept.step
	}
	p.typical[service] = kept
	return kept
}

// slowness is how many times as long as expected work takes at a worker, by observation;
// 1 unless it is far beyond.
func (p *Pool) slowness(now time.Time, e *entry, of typical) float64 {
	if !of.slows || !e.steps.known(now) {
		return 1
	}
	if beyond := e.stepOf(now) / of.step; beyond >= beyondWord {
		return min(beyond, mostPace)
	}
	return 1
}

// Slowness is how many times as long as its peers' times and its own word let expect work
// takes at a worker, as streams from it were observed; 1 unless it is far beyond.
func (p *Pool) Slowness(now time.Time, id string) float64 {
	e, ok := p.entries[id]
	if !ok {
		return 1
	}
	return p.slowness(now, e, p.typicalOf(now, e.Service))
}
