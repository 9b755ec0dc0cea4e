package worker

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query describes the request for which a worker is chosen.
type Query struct {
	Service  string
	Parts    []Part // prompt parts in order
	Tokens   int    // length of the whole prompt; 0 if unknown
	Excluded []string
	// Version restricts the choice to workers of this software version if HasVersion is set.
	Version    string
	HasVersion bool
	// WorkerID restricts the choice to one worker; empty allows any.
	WorkerID string
	// Groups restricts the choice to workers of these groups; nil allows all.
	Groups []int
	// Filter excludes the workers for which it returns false; nil excludes none.
	Filter func(id string) bool
	// FilterOccupancy excludes workers by their estimated occupancy; nil excludes none.
	FilterOccupancy func(Occupancy) bool
	// MaxUtilization is the maximum utilization, including this request, as a fraction of a worker's
	// slots; 0 means no limit.
	MaxUtilization float64
	// Zone is the origin of the request; empty means the pool's zone.
	Zone string
}

// Choice is a chosen worker with the estimates behind the choice.
type Choice struct {
	Worker Worker
	// UncachedTokens is the estimated number of prompt tokens that are not cached there.
	UncachedTokens int
	Load           float64       // requests there, including those of this process
	Slots          int           // slots of the worker
	ReportAge      time.Duration // age of the load report; negative if there is none
	// Pace is the expected pace. Its source is PaceUnknown if no worker of the service has a
	// known pace.
	Pace Pace
	// Slowness is the observed service time relative to that expected from the worker's pace
	// and its peers; 1 unless it exceeds a threshold.
	Slowness float64
}

// Components of a worker's cost, in prompt tokens.
const (
	slotCost      = 1500.0 // difference between a full and an empty worker
	queueCost     = 6000.0 // per queued request, divided by the number of slots
	otherZoneCost = 60.0
	coldCost      = 3000.0
	brokenCost    = 1500.0 // per consecutive interrupted answer
	// minSharedTokens is the size above which a prompt part not yet cached is sent to its
	// affinity worker, the same for every process.
	minSharedTokens  = 400
	affinityDiscount = 0.75
	tieBreakCost     = 40.0 // random, to decorrelate processes
	// requestCost is the cost of a request beyond its prompt at the usual pace. It keeps an
	// empty slow worker from being as attractive as an empty fast one: a fast worker fills
	// up until its queueing delay outweighs an empty slow worker.
	requestCost = 1500
	// newConnectionCost is the cost of a worker without an open connection: setup takes
	// about a millisecond, the time in which an engine reads as many tokens.
	newConnectionCost = 100.0
)

// connectionIdleTimeout is how long an idle connection is assumed to stay open.
const connectionIdleTimeout = 900 * time.Millisecond

// Choose returns the worker with the least cost, or false if none can take the request.
// Where workers report their pace, the cost is scaled to expected time.
func (p *Pool) Choose(now time.Time, query Query, random *rand.Rand) (Choice, bool) {
	p.markSeen(now, query.Service)
	candidates := p.candidates(now, query, random)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	prior := p.meanOtherLoad(now, candidates)
	mean, paced := p.meanPace(now, query.Service)
	if paced {
		candidates = p.drawCandidates(now, applySlowStart(now, candidates, random), mean, query, random)
	}
	affinity := p.affinityWorker(query, candidates, minSharedTokens)
	zone := cmp.Or(query.Zone, p.settings.Zone)
	large := p.Count(query.Service) > maxCompared // in small fleets, connections to all workers stay open
	best, lowest, baseline := Choice{}, math.Inf(1), p.baseline(now, query.Service)
	for _, e := range candidates {
		choice := p.newChoice(now, e, query, prior)
		if paced {
			choice.Pace = e.paceOf(now, mean)
		}
		choice.Slowness = p.slowness(now, e, baseline)
		cost := p.cost(e, choice, e == affinity, zone) + tieBreakCost*random.Float64()
		if large && now.Sub(e.lastUsed) >= connectionIdleTimeout {
			cost += newConnectionCost
		}
		if cost < lowest {
			best, lowest = choice, cost
		}
	}
	return best, true
}

// candidates returns the workers to compare: all of a small service, a sample of a large
// one.
func (p *Pool) candidates(now time.Time, query Query, random *rand.Rand) []*entry {
	if query.WorkerID != "" {
		return p.namedWorker(now, query)
	}
	lists := p.index(query.Service).lists(query.Groups)
	listed := 0
	for _, list := range lists {
		listed += len(list)
	}
	if listed > maxCompared {
		if usable, _ := p.classify(now, query, p.sample(query, lists, listed, random)); len(usable) >= minUsableSample {
			return usable
		}
	}
	var usable, fallback []*entry
	for _, list := range lists {
		listUsable, listFallback := p.classify(now, query, list)
		usable, fallback = append(usable, listUsable...), append(fallback, listFallback...)
	}
	if len(usable) == 0 && query.MaxUtilization == 0 {
		return fallback
	}
	return usable
}

// namedWorker returns the worker named by the query, if it is eligible.
func (p *Pool) namedWorker(now time.Time, query Query) []*entry {
	e, ok := p.entries[query.WorkerID]
	if !ok || e.Service != query.Service {
		return nil
	}
	usable, fallback := p.classify(now, query, []*entry{e})
	return append(usable, fallback...)
}

// classify splits eligible workers into usable ones and fallbacks, which are used only if no
// other is left. Ineligible workers are dropped.
func (p *Pool) classify(now time.Time, query Query, list []*entry) (usable, fallback []*entry) {
	for _, e := range list {
		switch {
		case !p.accepts(e) || slices.Contains(query.Excluded, e.ID):
		case query.HasVersion && e.Version != query.Version:
		case query.Filter != nil && !query.Filter(e.ID):
		case query.FilterOccupancy != nil && !query.FilterOccupancy(p.occupancy(now, e)):
		case query.MaxUtilization > 0 && p.estimateLoad(now, e)+1 > query.MaxUtilization*float64(e.slots):
		case now.Before(e.downUntil) || now.Before(e.fullUntil) || e.outlier.ejected(now):
			fallback = append(fallback, e)
		case e.outlier.probing(now) && p.estimateLoad(now, e) >= 1:
			fallback = append(fallback, e)
		default:
			usable = append(usable, e)
		}
	}
	return usable, fallback
}

// meanOtherLoad returns the mean load by other processes of the workers that have reported
// lately; 0 if none has.
func (p *Pool) meanOtherLoad(now time.Time, candidates []*entry) float64 {
	sum, known := 0.0, 0
	for _, e := range candidates {
		if p.reportWeight(now, e) > 0 {
			sum, known = sum+e.otherInFlight, known+1
		}
	}
	return sum / float64(max(known, 1))
}

// expectedLoad is like estimateLoad, but takes a worker of which nothing is known for one of
// mean load rather than for an empty one: otherwise all processes choose such workers at once.
func (p *Pool) expectedLoad(now time.Time, e *entry, mean float64) float64 {
	if e.addedLater && e.reportedAt.IsZero() {
		mean = 0 // it has just started; slow start keeps processes from choosing it at once
	}
	weight := p.reportWeight(now, e)
	return float64(e.inFlight) + weight*e.otherInFlight + (1-weight)*mean
}

// reportWeight returns the weight, from 1 to 0, of the reported load of a worker, which fades
// with its age.
func (p *Pool) reportWeight(now time.Time, e *entry) float64 {
	switch {
	case e.otherExact:
		return 1
	case e.reportedAt.IsZero():
		return 0
	}
	return max(1-float64(now.Sub(e.reportedAt))/float64(p.settings.LoadTTL), 0)
}

func (p *Pool) newChoice(now time.Time, e *entry, query Query, meanOther float64) Choice {
	total := query.Tokens
	if total == 0 {
		for _, part := range query.Parts {
			total += part.Tokens
		}
	}
	age := time.Duration(-1)
	if !e.reportedAt.IsZero() {
		age = now.Sub(e.reportedAt)
	}
	return Choice{
		Worker: e.Worker, UncachedTokens: max(total-e.parts.cachedTokens(query.Parts), 0),
		Load: p.expectedLoad(now, e, meanOther), Slots: e.slots, ReportAge: age,
	}
}

// applySlowStart keeps each candidate with probability slowStartShare, or all of them if
// none remains.
func applySlowStart(now time.Time, candidates []*entry, random *rand.Rand) []*entry {
	kept := make([]*entry, 0, len(candidates))
	for _, e := range candidates {
		if share := e.slowStartShare(now); share >= 1 || random.Float64() < share {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// drawCandidates samples the configured number of workers weighted by speed, so that
// processes that share the same sparse observations do not converge on the same workers. The
// affinity worker of a large prompt part and a worker with most of the prompt cached are
// always included if reading that much would cost more than the request itself.
func (p *Pool) drawCandidates(now time.Time, candidates []*entry, mean float64, query Query, random *rand.Rand) []*entry {
	if p.settings.SampleSize == 0 || len(candidates) <= p.settings.SampleSize {
		return candidates
	}
	cumulative := make([]float64, len(candidates))
	sum := 0.0
	for i, e := range candidates {
		pace := mean
		if e.pace.known(now) {
			pace = e.pace.stable
		}
		sum += 1 / pace
		cumulative[i] = sum
	}
	kept := make([]*entry, 0, p.settings.SampleSize+1)
	if affinity := p.affinityWorker(query, candidates, requestCost); affinity != nil {
		kept = append(kept, affinity)
	}
	if cached := mostCached(query.Parts, candidates, random); cached != nil && !slices.Contains(kept, cached) {
		kept = append(kept, cached)
	}
	for range p.settings.SampleSize {
		i, _ := slices.BinarySearch(cumulative, sum*random.Float64())
		if e := candidates[min(i, len(candidates)-1)]; !slices.Contains(kept, e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// mostCached returns the worker with the longest cached prefix of a prompt, with ties broken
// at random, or nil if none has more than requestCost tokens cached.
func mostCached(parts []Part, candidates []*entry, random *rand.Rand) *entry {
	var best *entry
	most, ties := int(requestCost), 0
	for _, e := range candidates {
		read := e.parts.cachedTokens(parts)
		switch {
		case read > most:
			best, most, ties = e, read, 1
		case best != nil && read == most:
			if ties++; random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// cost returns the cost of sending a request to a worker.
func (p *Pool) cost(e *entry, choice Choice, affinity bool, zone string) float64 {
	unread := float64(choice.UncachedTokens)
	if affinity {
		unread *= affinityDiscount
	}
	slots := float64(max(choice.Slots, 1))
	cost := unread + float64(e.pendingTokens) + slotCost*choice.Load/slots
	if over := choice.Load + 1 - slots; over > 0 {
		cost += queueCost * over / slots
	}
	if choice.Pace.Source != PaceUnknown {
		cost = scaleCost(cost, choice.Pace.Value)
	}
	if choice.Slowness > 1 {
		cost = scaleCost(cost, choice.Slowness)
	}
	if e.Zone != zone {
		cost += otherZoneCost
	}
	cost += brokenCost * float64(e.consecutiveBroken)
	if e.WarmupTime > 0 {
		cost += coldCost
	}
	return cost
}

// scaleCost scales a cost, including requestCost, by a pace. A pace of 1 leaves it
// unchanged.
func scaleCost(cost, pace float64) float64 { return pace*(cost+requestCost) - requestCost }

// affinityWorker returns the worker that all processes with the same view agree on for the
// longest shared prompt part, by rendezvous hashing in small services and a hash ring in
// large ones. It returns nil if no part exceeds the minimum.
func (p *Pool) affinityWorker(query Query, candidates []*entry, minimum int) *entry {
	part := longestShared(query.Parts, minimum)
	if part == "" {
		return nil
	}
	if p.index(query.Service).all.len() > maxCompared {
		owner := p.ringOwner(query.Service, part)
		if slices.Contains(candidates, owner) {
			return owner
		}
		return nil
	}
	var best *entry
	highest := uint64(0)
	for _, e := range candidates {
		if score := xxhash.Sum64String(part + "/" + e.ID); best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// longestShared returns the longest part of a prompt except the last, or "" if none exceeds
// the minimum.
func longestShared(parts []Part, minimum int) string {
	id, tokens := "", minimum
	for _, part := range parts[:max(len(parts)-1, 0)] {
		if part.Tokens > tokens {
			id, tokens = part.ID, part.Tokens
		}
	}
	return id
}

// RecordSent records that a request with these prompt parts was sent to a worker.
func (p *Pool) RecordSent(id string, parts []Part) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	p.index(e.Service).markRecent(e)
	if len(parts) == 0 {
		return
	}
	bound := int(float64(p.capacity[e.Service]) * p.settings.CacheFraction)
	if e.parts == nil {
		e.parts = newPartSet()
	}
	e.parts.add(parts, bound)
}
