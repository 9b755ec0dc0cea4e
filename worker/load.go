package worker

import "time"

// Begin records a request sent to a worker, with the number of prompt tokens to be read.
func (p *Pool) Begin(id string, tokens int) {
	if e, ok := p.entries[id]; ok {
		e.inFlight++
		e.pendingTokens += tokens
	}
}

// RecordPromptRead records that the worker has read the prompt of a request.
func (p *Pool) RecordPromptRead(id string, tokens int) {
	if e, ok := p.entries[id]; ok {
		e.pendingTokens = max(e.pendingTokens-tokens, 0)
	}
}

// End records that a request has left a worker.
func (p *Pool) End(id string) {
	if e, ok := p.entries[id]; ok {
		e.inFlight = max(e.inFlight-1, 0)
	}
}

// RecordUsed records that this process holds an open connection to a worker as of now.
func (p *Pool) RecordUsed(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.lastUsed = now
	}
}

// RecordLoad applies a load reported by a worker. Requests beyond those of this process are
// attributed to other processes. A report also ends a backoff after failures.
func (p *Pool) RecordLoad(now time.Time, id string, load Load) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if load.Slots > 0 {
		e.slots = load.Slots
	}
	if !e.otherExact {
		e.otherInFlight = float64(max(load.Running+load.Waiting-e.inFlight, 0))
	}
	e.reportedAt = now
	if load.Pace > 0 {
		p.trackPace(e)
		e.pace.observe(now, load.Pace, PaceFromWorker)
	}
	e.failures, e.consecutiveBroken = 0, 0
	e.downUntil = time.Time{}
}

// SetOtherLoad sets the number of requests that other processes report to have at a worker.
// Unless the exact number is known, the value decays like that of a load report.
func (p *Pool) SetOtherLoad(now time.Time, id string, held int) {
	if e, ok := p.entries[id]; ok {
		e.otherInFlight = float64(held)
		e.reportedAt = now
	}
}

// SetExactOtherLoad sets the exact number of requests that all other processes have at a worker, as
// reported by them. It stays valid until the next call and takes precedence over the
// worker's own, older load reports.
func (p *Pool) SetExactOtherLoad(now time.Time, id string, held int) {
	if e, ok := p.entries[id]; ok {
		e.otherInFlight, e.otherExact = float64(held), true
		e.reportedAt = now
	}
}

// ClearExactOtherLoads makes exact numbers of other processes' requests estimates again, for all
// workers.
func (p *Pool) ClearExactOtherLoads() {
	for _, e := range p.entries {
		e.otherExact = false
	}
}

// RecordRefused records a failed or hanging connection attempt.
func (p *Pool) RecordRefused(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.failures++
		e.downUntil = now.Add(p.settings.RefusedBackoff * time.Duration(min(e.failures, maxBackoffFactor)))
	}
}

// brokenThreshold is the number of consecutive interrupted answers after which a worker is
// excluded like after a refused connection. A single reset is weak evidence against a worker
// that accepts connections.
const brokenThreshold = 2

// RecordInterrupted records that a worker accepted a request and its answer was interrupted.
func (p *Pool) RecordInterrupted(now time.Time, id string) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if e.consecutiveBroken++; e.consecutiveBroken >= brokenThreshold {
		p.RecordRefused(now, id)
	}
}

// maxBackoffFactor limits the growth of the backoff over consecutive failures.
const maxBackoffFactor = 4

// RecordFull records that a worker rejected a request because it was full.
func (p *Pool) RecordFull(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.fullUntil = now.Add(fullBackoff)
		if !e.otherExact {
			e.otherInFlight = max(e.otherInFlight, float64(e.slots-e.inFlight))
		}
		e.reportedAt = now
	}
}

// fullBackoff is how long a worker is excluded after it rejected a request.
const fullBackoff = 100 * time.Millisecond

// InFlight returns the number of requests that this process has at a worker.
func (p *Pool) InFlight(id string) int {
	if e, ok := p.entries[id]; ok {
		return e.inFlight
	}
	return 0
}

// estimateLoad returns the estimated number of requests at a worker.
func (p *Pool) estimateLoad(now time.Time, e *entry) float64 {
	age := now.Sub(e.reportedAt)
	if e.otherExact {
		return float64(e.inFlight) + e.otherInFlight
	}
	if e.reportedAt.IsZero() || age >= p.settings.LoadTTL {
		return float64(e.inFlight)
	}
	fresh := 1 - float64(age)/float64(p.settings.LoadTTL)
	return float64(e.inFlight) + e.otherInFlight*(0.5+0.5*fresh)
}
