package worker

import (
	"math"
	"slices"
	"time"
)

// What a pace is believed by.
const (
	// paceMemory is over how long the part of a pace that is its machine's is averaged:
	// many of the moments in which others press on that machine, which last well under a
	// second.
	paceMemory = 3 * time.Second
	// paceSamples bound how little a word weighs in the average; before that many each
	// weighs the same.
	paceSamples = 16
	// paceMoment is in what time the difference between the last word and the average is
	// believed a third as much: a moment lasts some tenths of a second, and its middle
	// is met on average.
	paceMoment = 250 * time.Millisecond
	// paceLife is how long the average is believed without a word: a machine keeps its
	// speed, and a worker that is asked rarely is heard of rarely.
	paceLife = 30 * time.Second
	// A pace beyond these bounds is taken for the bound: no word may draw all requests to
	// a worker, or keep all from it.
	leastPace, mostPace = 0.2, 8.0
	// rampTime is how long a worker that joined others is offered to only a part of the
	// choices while nothing was heard of it, and rampLeast the part at its beginning. A
	// request takes around a second: then its answer tells how it stands there.
	rampTime  = 2 * time.Second
	rampLeast = 1.0 / 16
)

// PaceSource is who told a pace.
type PaceSource string

// The sources of a pace.
const (
	PaceUnknown  PaceSource = ""          // nobody
	PaceTold     PaceSource = "worker"    // the worker, to this process
	PaceReported PaceSource = "frontend"  // the worker, to another process
	PaceGathered PaceSource = "leader"    // an average that another process gathered
	PaceUsual    PaceSource = "its_peers" // the mean of its service: of it nothing is known
)

// Pace is what is believed of how long work takes at a worker, as a multiple of the
// usual time.
type Pace struct {
	Value  float64       // expected for work that begins now
	Slow   float64       // the part that is its machine's, stable over seconds
	Age    time.Duration // of the newest word; negative without one
	Source PaceSource    // of the newest word
}

// paceBelief is the state behind a Pace. The zero value knows nothing.
type paceBelief struct {
	slow    float64
	samples int
	last    float64 // word of one moment, at lastAt; 0: none
	lastAt  time.Time
	heardAt time.Time // of any word
	source  PaceSource
}

func (b *paceBelief) known(now time.Time) bool {
	return b.samples > 0 && now.Sub(b.heardAt) < paceLife
}

// tell takes a worker's word of the moment at. Words may come out of order; a late one
// counts for the average and not for the moment.
func (b *paceBelief) tell(at time.Time, pace float64, source PaceSource) {
	pace = min(max(pace, leastPace), mostPace)
	if b.samples > 0 && at.Sub(b.heardAt) >= paceLife {
		*b = paceBelief{}
	}
	b.samples = min(b.samples+1, paceSamples)
	weight := 1 / float64(b.samples)
	if passed := at.Sub(b.heardAt); b.samples > 1 && passed > 0 {
		weight = max(weight, 1-math.Exp(-float64(passed)/float64(paceMemory)))
	}
	b.slow += weight * (pace - b.slow)
	if !at.Before(b.lastAt) {
		b.last, b.lastAt = pace, at
	}
	if !at.Before(b.heardAt) {
		b.heardAt, b.source = at, source
	}
}

// learn takes the average that another process gathered, which heard more.
func (b *paceBelief) learn(now time.Time, slow float64) {
	b.slow, b.samples = min(max(slow, leastPace), mostPace), paceSamples
	b.heardAt, b.source = now, PaceGathered
}

func (b *paceBelief) at(now time.Time) Pace {
	pace := Pace{Value: b.slow, Slow: b.slow, Age: now.Sub(b.heardAt), Source: b.source}
	if b.last > 0 {
		age := max(now.Sub(b.lastAt), 0)
		pace.Value += (b.last - b.slow) * math.Exp(-float64(age)/float64(paceMoment))
	}
	pace.Value = min(max(pace.Value, leastPace), mostPace)
	return pace
}

// TellPace takes a worker's word of its pace that another process heard at a moment.
func (p *Pool) TellPace(at time.Time, id string, pace float64) {
	if e, ok := p.entries[id]; ok && pace > 0 {
		p.notePaced(e)
		e.pace.tell(at, pace, PaceReported)
	}
}

// LearnPace takes the stable part of a worker's pace, as another process gathered it.
func (p *Pool) LearnPace(now time.Time, id string, slow float64) {
	if e, ok := p.entries[id]; ok && slow > 0 {
		p.notePaced(e)
		e.pace.learn(now, slow)
	}
}

// notePaced lists a worker of which a pace is told for the first time.
func (p *Pool) notePaced(e *entry) {
	if e.pace.samples == 0 {
		r := p.roster(e.Service)
		r.paced = append(r.paced, e)
	}
}

// Paced tells whether something is known of the pace of one of a service's workers.
func (p *Pool) Paced(now time.Time, service string) bool {
	return slices.ContainsFunc(p.roster(service).paced, func(e *entry) bool { return e.pace.known(now) })
}

// PaceOf is what is believed of a worker's pace; false where nothing is known.
func (p *Pool) PaceOf(now time.Time, id string) (Pace, bool) {
	e, ok := p.entries[id]
	if !ok || !e.pace.known(now) {
		return Pace{}, false
	}
	return e.pace.at(now), true
}

// usual is what a worker of a service is taken for of which nothing is known: the mean
// of its peers. False where nothing is known of any.
func (p *Pool) usual(now time.Time, service string) (float64, bool) {
	sum, known := 0.0, 0
	for _, e := range p.roster(service).paced {
		if e.pace.known(now) {
			sum += e.pace.slow
			known++
		}
	}
	if known == 0 {
		return 0, false
	}
	return sum / float64(known), true
}

// paceOf is an entry's pace, or its peers' where nothing is known of it.
func (e *entry) paceOf(now time.Time, usual float64) Pace {
	if e.pace.known(now) {
		return e.pace.at(now)
	}
	return Pace{Value: usual, Slow: usual, Age: -time.Millisecond, Source: PaceUsual}
}

// see notes the workers of a service that a choice looks at for the first time.
func (p *Pool) see(now time.Time, service string) {
	r := p.roster(service)
	for _, e := range r.unseen {
		e.seenAt, e.joined = now, p.chosen[service]
	}
	r.unseen = nil
	p.chosen[service] = true
}

// offered is the part of choices in which a worker is a candidate: one that joined
// others and of which nothing has been heard grows into its part. Every process sees it
// appear in the same moment, as the emptiest of all.
func (e *entry) offered(now time.Time) float64 {
	passed := now.Sub(e.seenAt)
	if !e.joined || passed >= rampTime || !e.reported.IsZero() || e.pace.samples > 0 {
		return 1
	}
	return max(float64(passed)/float64(rampTime), rampLeast)
}
