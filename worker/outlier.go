package worker

import (
	"math"
	"time"
)

// Parameters of outlier ejection.
const (
	// outcomeDecay is the time constant with which outcomes are forgotten.
	outcomeDecay = 3 * time.Second
	// minFailures is the decayed number of failures required to eject a worker; a single
	// connection reset causes fewer.
	minFailures = 2.5
	// minFailureRate is the failure rate required to eject a worker, and peerFailureFactor
	// the required ratio to its peers' rate: failures common to all workers are no worker's
	// fault.
	minFailureRate    = 0.3
	peerFailureFactor = 3.0
	// ejectionDivisor limits concurrent ejections to the number of known workers of a
	// service divided by it, but allows one. No worker is ejected where fewer than minPeers
	// are known.
	ejectionDivisor = 4
	minPeers        = 3
	// minOutcomes is the decayed number of outcomes from which a worker counts as known.
	minOutcomes = 0.1
	// minEjectionTime is the duration of the first ejection. Each failed probe doubles it,
	// up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
)

// Outcomes counts how requests to a worker ended since the last report.
type Outcomes struct {
	Succeeded int `json:"whole,omitempty"`  // answered
	Failed    int `json:"broken,omitempty"` // failed, interrupted, not connected or timed out
}

// outlier is the ejection state of a worker. The zero value has no outcomes.
type outlier struct {
	succeeded, failed float64 // decayed by outcomeDecay
	updatedAt         time.Time
	ejectedUntil      time.Time
	ejectionTime      time.Duration // duration of the last ejection; 0 if not ejected
}

// failureRate is the fraction of failed outcomes.
func (o outlier) failureRate() float64 { return o.failed / max(o.succeeded+o.failed, 1) }

func (o *outlier) decay(now time.Time) {
	if elapsed := now.Sub(o.updatedAt); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(outcomeDecay))
		o.succeeded, o.failed, o.updatedAt = o.succeeded*kept, o.failed*kept, now
	}
}

// ejected reports whether the worker is excluded.
func (o outlier) ejected(now time.Time) bool { return o.ejectionTime > 0 && now.Before(o.ejectedUntil) }

// probing reports whether the ejection has expired and no request has succeeded since. A
// probing worker gets one request at a time.
func (o outlier) probing(now time.Time) bool {
	return o.ejectionTime > 0 && !now.Before(o.ejectedUntil)
}

func (o *outlier) eject(now time.Time) {
	o.ejectionTime = min(max(2*o.ejectionTime, minEjectionTime), maxEjectionTime)
	o.ejectedUntil = now.Add(o.ejectionTime)
}

// EjectionChange is the ejection or reinstatement of a worker.
type EjectionChange struct {
	Ejected           bool          // false if reinstated
	Duration          time.Duration // how long it is ejected
	Succeeded, Failed float64       // decayed outcomes of the worker
	PeerFailureRate   float64       // failure rate of its peers
}

// RecordOutcomes records how requests to a worker ended and ejects it if it is an outlier of
// its service. It returns true if the worker was ejected or reinstated.
func (p *Pool) RecordOutcomes(now time.Time, id string, outcomes Outcomes) (EjectionChange, bool) {
	e, ok := p.entries[id]
	if !ok || outcomes.Succeeded < 0 || outcomes.Failed < 0 {
		return EjectionChange{}, false
	}
	o := &e.outlier
	if o.updatedAt.IsZero() {
		r := p.index(e.Service)
		r.withOutcomes = append(r.withOutcomes, e)
	}
	o.decay(now)
	o.succeeded += float64(outcomes.Succeeded)
	o.failed += float64(outcomes.Failed)
	judgement := EjectionChange{Succeeded: o.succeeded, Failed: o.failed}
	switch {
	case o.ejected(now): // outcomes of requests sent before the ejection
		return EjectionChange{}, false
	case o.probing(now) && outcomes.Failed > 0:
		o.eject(now)
	case o.probing(now) && outcomes.Succeeded > 0:
		*o = outlier{updatedAt: now}
		return judgement, true
	case o.ejectionTime > 0 || o.failed < minFailures || o.failureRate() < minFailureRate:
		return EjectionChange{}, false
	default:
		var allowed bool
		if judgement.PeerFailureRate, allowed = p.peerFailureRate(now, e); !allowed || o.failureRate() < peerFailureFactor*judgement.PeerFailureRate {
			return EjectionChange{}, false
		}
		o.eject(now)
	}
	judgement.Ejected, judgement.Duration = true, o.ejectionTime
	return judgement, true
}

// peerFailureRate returns the failure rate of the other workers of the service, and whether
// this one may be ejected: the limit on ejections is not reached, and the peers have at
// least as many outcomes as it has failures. Otherwise the first worker to report a
// service-wide failure would be ejected.
func (p *Pool) peerFailureRate(now time.Time, of *entry) (rate float64, allowed bool) {
	peers, ejected, known := outlier{}, 0, 0
	for _, e := range p.index(of.Service).withOutcomes {
		e.outlier.decay(now)
		if e.outlier.ejectionTime > 0 {
			ejected++
		}
		if e.outlier.ejectionTime > 0 || e.outlier.succeeded+e.outlier.failed >= minOutcomes {
			known++
		}
		if e == of || e.outlier.ejectionTime > 0 {
			continue
		}
		peers.succeeded += e.outlier.succeeded
		peers.failed += e.outlier.failed
	}
	return peers.failureRate(), known >= minPeers && ejected < max(known/ejectionDivisor, 1) && peers.succeeded+peers.failed >= of.outlier.failed
}
