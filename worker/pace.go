package worker

import (
	"math"
	"slices"
	"time"
)

// Parameters of pace estimation.
const (
	// paceDecay is the time constant of the stable average. It spans many bursts of
	// interference on a shared machine, which last well under a second.
	paceDecay = 3 * time.Second
	// maxPaceSamples limits the sample count of the average. Until it is reached, all
	// samples have equal weight.
	maxPaceSamples = 16
	// transientDecay is the time constant with which the deviation of the last report from
	// the average is discounted.
	transientDecay = 250 * time.Millisecond
	// paceTTL is how long an average stays valid without a report. It is long, since a
	// machine's speed is stable and rarely used workers report rarely.
	paceTTL = 30 * time.Second
	// Paces are clamped to these bounds, so that no report attracts or diverts all requests.
	minPace, maxPace = 0.2, 8.0
	// slowStartWindow is how long a worker added to a running service is offered to only a
	// fraction of choices, as long as it has not reported. The fraction grows from
	// minSlowStartShare. The window covers the first answer, which carries a report.
	slowStartWindow   = 2 * time.Second
	minSlowStartShare = 1.0 / 16
)

// PaceSource is the origin of a pace.
type PaceSource string

// Sources of a pace.
const (
	PaceUnknown      PaceSource = ""          // no information
	PaceFromWorker   PaceSource = "worker"    // reported by the worker to this process
	PaceFromFrontend PaceSource = "frontend"  // reported by the worker to another process
	PaceFromLeader   PaceSource = "leader"    // average collected by another process
	PaceFromPeers    PaceSource = "its_peers" // mean of the service; the worker itself is unknown
)

// Pace is the estimated service time of a worker as a multiple of the usual one.
type Pace struct {
	Value  float64       // expected for a request that starts now
	Stable float64       // stable component, which depends on the machine
	Age    time.Duration // age of the latest report; negative if there is none
	Source PaceSource    // source of the latest report
}

// paceEstimate is the state behind a Pace. The zero value has no samples.
type paceEstimate struct {
	stable    float64
	samples   int
	last      float64 // latest report by its time, taken at lastAt; 0 if none
	lastAt    time.Time
	updatedAt time.Time // time of the latest sample of any source
	source    PaceSource
}

func (e *paceEstimate) known(now time.Time) bool {
	return e.samples > 0 && now.Sub(e.updatedAt) < paceTTL
}

// observe adds a report made at a given time. A report older than the latest one updates
// only the average.
func (e *paceEstimate) observe(at time.Time, pace float64, source PaceSource) {
	pace = min(max(pace, minPace), maxPace)
	if e.samples > 0 && at.Sub(e.updatedAt) >= paceTTL {
		*e = paceEstimate{}
	}
	e.samples = min(e.samples+1, maxPaceSamples)
	weight := 1 / float64(e.samples)
	if elapsed := at.Sub(e.updatedAt); e.samples > 1 && elapsed > 0 {
		weight = max(weight, 1-math.Exp(-float64(elapsed)/float64(paceDecay)))
	}
	e.stable += weight * (pace - e.stable)
	if !at.Before(e.lastAt) {
		e.last, e.lastAt = pace, at
	}
	if !at.Before(e.updatedAt) {
		e.updatedAt, e.source = at, source
	}
}

// set replaces the average by one collected by another process from more reports.
func (e *paceEstimate) set(now time.Time, stable float64) {
	e.stable, e.samples = min(max(stable, minPace), maxPace), maxPaceSamples
	e.updatedAt, e.source = now, PaceFromLeader
}

func (e *paceEstimate) at(now time.Time) Pace {
	pace := Pace{Value: e.stable, Stable: e.stable, Age: now.Sub(e.updatedAt), Source: e.source}
	if e.last > 0 {
		age := max(now.Sub(e.lastAt), 0)
		pace.Value += (e.last - e.stable) * math.Exp(-float64(age)/float64(transientDecay))
	}
	pace.Value = min(max(pace.Value, minPace), maxPace)
	return pace
}

// RecordPace records a pace that the worker reported to another process at the given time.
func (p *Pool) RecordPace(at time.Time, id string, pace float64) {
	if e, ok := p.entries[id]; ok && pace > 0 {
		p.trackPace(e)
		e.pace.observe(at, pace, PaceFromFrontend)
	}
}

// SetStablePace sets the stable component of a worker's pace, as collected by another process.
func (p *Pool) SetStablePace(now time.Time, id string, stable float64) {
	if e, ok := p.entries[id]; ok && stable > 0 {
		p.trackPace(e)
		e.pace.set(now, stable)
	}
}

// trackPace adds a worker to the index when its first pace arrives.
func (p *Pool) trackPace(e *entry) {
	if e.pace.samples == 0 {
		r := p.index(e.Service)
		r.withPace = append(r.withPace, e)
	}
}

// PaceKnown reports whether the pace of any worker of a service is known.
func (p *Pool) PaceKnown(now time.Time, service string) bool {
	return slices.ContainsFunc(p.index(service).withPace, func(e *entry) bool { return e.pace.known(now) })
}

// PaceOf returns the pace of a worker, and whether it is known.
func (p *Pool) PaceOf(now time.Time, id string) (Pace, bool) {
	e, ok := p.entries[id]
	if !ok || !e.pace.known(now) {
		return Pace{}, false
	}
	return e.pace.at(now), true
}

// meanPace returns the mean stable pace of a service's workers, used for those without one.
// It is false if none is known.
func (p *Pool) meanPace(now time.Time, service string) (float64, bool) {
	sum, known := 0.0, 0
	for _, e := range p.index(service).withPace {
		if e.pace.known(now) {
			sum += e.pace.stable
			known++
		}
	}
	if known == 0 {
		return 0, false
	}
	return sum / float64(known), true
}

// paceOf returns the pace of an entry, or the given mean if it is unknown.
func (e *entry) paceOf(now time.Time, mean float64) Pace {
	if e.pace.known(now) {
		return e.pace.at(now)
	}
	return Pace{Value: mean, Stable: mean, Age: -time.Millisecond, Source: PaceFromPeers}
}

// markSeen records the workers of a service that Choose considers for the first time.
func (p *Pool) markSeen(now time.Time, service string) {
	r := p.index(service)
	for _, e := range r.unseen {
		e.firstSeen, e.addedLater = now, p.seenServices[service]
	}
	r.unseen = nil
	p.seenServices[service] = true
}

// slowStartShare returns the fraction of choices in which a worker is a candidate. It grows
// over slowStartWindow for a worker added to a running service that has not reported, since
// every process sees it appear empty at the same time.
func (e *entry) slowStartShare(now time.Time) float64 {
	elapsed := now.Sub(e.firstSeen)
	if !e.addedLater || elapsed >= slowStartWindow || !e.reportedAt.IsZero() || e.pace.samples > 0 {
		return 1
	}
	return max(float64(elapsed)/float64(slowStartWindow), minSlowStartShare)
}
