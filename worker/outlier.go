package worker

import (
	"math"
	"time"
)

// What an outlier is judged by.
const (
	// outcomeMemory is over how long outcomes count: many requests' time, and short
	// enough that a worker is judged by how it is now.
	outcomeMemory = 3 * time.Second
	// leastBroken outcomes are evidence; fewer happen to a worker whose connections were
	// reset once.
	leastBroken = 2.5
	// leastBrokenShare of a worker's outcomes, and brokenTimes as large a share as its
	// peers' together: what breaks everywhere is no fault of one worker.
	leastBrokenShare = 0.3
	brokenTimes      = 3.0
	// mostOut of a service's workers of which this process hears are left out at once, as
	// one part of so many: the others have to bear their load. Of fewer than leastPeers
	// none is.
	mostOut    = 4
	leastPeers = 3
	// leastHeard outcomes lately: this process hears of a worker.
	leastHeard = 0.1
	// firstOut is how long an outlier is left out before its trial; each trial in vain
	// doubles it up to lastOut.
	firstOut = time.Second
	lastOut  = 8 * time.Second
)

// Outcomes are how requests ended at a worker since they were told last.
type Outcomes struct {
	Whole  int `json:"whole,omitempty"`  // answered
	Broken int `json:"broken,omitempty"` // failed, broke off, no connection, or no answer in its time
}

// outlier is what is believed of a worker by its outcomes. The zero value is of a worker
// of which nothing is known.
type outlier struct {
	whole, broken float64 // within outcomeMemory
	at            time.Time
	outUntil      time.Time
	pause         time.Duration // of the last time it was left out; 0: it is in
}

// share of the outcomes that are broken.
func (o outlier) share() float64 { return o.broken / max(o.whole+o.broken, 1) }

func (o *outlier) decay(now time.Time) {
	if passed := now.Sub(o.at); passed > 0 {
		kept := math.Exp(-float64(passed) / float64(outcomeMemory))
		o.whole, o.broken, o.at = o.whole*kept, o.broken*kept, now
	}
}

// out: it gets nothing.
func (o outlier) out(now time.Time) bool { return o.pause > 0 && now.Before(o.outUntil) }

// onTrial: it gets one request at a time until one is answered.
func (o outlier) onTrial(now time.Time) bool { return o.pause > 0 && !now.Before(o.outUntil) }

func (o *outlier) leave(now time.Time) {
	o.pause = min(max(2*o.pause, firstOut), lastOut)
	o.outUntil = now.Add(o.pause)
}

// Judgement is a change of what is believed of a worker by its outcomes.
type Judgement struct {
	Out           bool // it is left out for Pause; else it is back
	Pause         time.Duration
	Whole, Broken float64 // that it rests on
	Peers         float64 // share of its peers' outcomes that are broken
}

// TakeOutcomes takes how requests ended at a worker, and leaves it out if it is an
// outlier of its service. True with a change of what is believed.
func (p *Pool) TakeOutcomes(now time.Time, id string, outcomes Outcomes) (Judgement, bool) {
	e, ok := p.entries[id]
	if !ok || outcomes.Whole < 0 || outcomes.Broken < 0 {
		return Judgement{}, false
	}
	o := &e.outlier
	if o.at.IsZero() {
		r := p.roster(e.Service)
		r.judged = append(r.judged, e)
	}
	o.decay(now)
	o.whole += float64(outcomes.Whole)
	o.broken += float64(outcomes.Broken)
	judgement := Judgement{Whole: o.whole, Broken: o.broken}
	switch {
	case o.out(now): // of requests that were there before
		return Judgement{}, false
	case o.onTrial(now) && outcomes.Broken > 0:
		o.leave(now)
	case o.onTrial(now) && outcomes.Whole > 0:
		*o = outlier{at: now}
		return judgement, true
	case o.pause > 0 || o.broken < leastBroken || o.share() < leastBrokenShare:
		return Judgement{}, false
	default:
		var room bool
		if judgement.Peers, room = p.peersOf(now, e); !room || o.share() < brokenTimes*judgement.Peers {
			return Judgement{}, false
		}
		o.leave(now)
	}
	judgement.Out, judgement.Pause = true, o.pause
	return judgement, true
}

// peersOf is which share of the outcomes of a worker's peers is broken, and whether it may
// be left out: others are left, and as much is known of them as is held against it. While
// all fail, the one whose failures are told first is no outlier.
func (p *Pool) peersOf(now time.Time, of *entry) (share float64, room bool) {
	peers, out, known := outlier{}, 0, 0
	for _, e := range p.roster(of.Service).judged {
		e.outlier.decay(now)
		if e.outlier.pause > 0 {
			out++
		}
		if e.outlier.pause > 0 || e.outlier.whole+e.outlier.broken >= leastHeard {
			known++
		}
		if e == of || e.outlier.pause > 0 {
			continue
		}
		peers.whole += e.outlier.whole
		peers.broken += e.outlier.broken
	}
	return peers.share(), known >= leastPeers && out < max(known/mostOut, 1) && peers.whole+peers.broken >= of.outlier.broken
}
