package worker

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query is what a choice is made for.
type Query struct {
	Service  string
	Parts    []Part // of the prompt, in order
	Tokens   int    // of the whole prompt; 0 when not told
	Excluded []string
	// Worker is the only one that may be chosen; empty: any.
	Worker string
	// Groups are those of which workers may be chosen; nil: all.
	Groups []int
	// Only leaves out workers for which it is false; nil leaves out none.
	Only func(id string) bool
	// Fits leaves out workers by what is believed of them; nil leaves out none.
	Fits func(Occupancy) bool
	// Limit leaves out workers that hold more than this share of their slots;
	// 0 is no limit.
	Limit float64
	// Zone that the request comes from; empty: the pool's.
	Zone string
}

// Choice is a worker with what its choice rested on.
type Choice struct {
	Worker Worker
	// Unread is how many tokens of the prompt it is thought to have to read.
	Unread int
	Load   float64       // requests there, with those of this process
	Slots  int           // of the worker
	Age    time.Duration // of the load's report; negative without one
	// Pace that was expected of it; without a source where nothing is known of any
	// worker of the service.
	Pace Pace
	// Slowness is by how much work took longer there than its word and its peers let
	// expect; 1 unless it is far beyond.
	Slowness float64
}

// What a cost is made of, in tokens of prompt.
const (
	slotCost      = 1500.0 // a worker with all slots taken against an empty one
	queueCost     = 6000.0 // and for each slot's worth beyond that, over the slots
	otherZoneCost = 60.0
	coldCost      = 3000.0
	brokenCost    = 1500.0 // for each answer in a row that broke off
	// sharedMinimum is the size from which a part that nobody here has sent yet
	// is sent to the worker that every process agrees on.
	sharedMinimum  = 400
	agreedDiscount = 0.75
	tieCost        = 40.0 // random, so that processes do not agree by chance
	// workCost is what a request costs beside its prompt at the usual pace, so that an
	// empty slow worker is not as good as an empty fast one: as much as all slots of a
	// worker, taken. With it a fast worker is filled until the wait there outweighs an
	// empty slow one.
	workCost = 1500
	// newConnectionCost is what a worker costs to which this process has kept no
	// connection: about a millisecond until it is up, in which an engine reads as many
	// tokens.
	newConnectionCost = 100.0
)

// connectionLife is for how long after a request a connection is thought to be kept.
const connectionLife = 900 * time.Millisecond

// Choose gives the worker with the least cost: where workers tell their pace, with the
// least expected time. False when none can take it.
func (p *Pool) Choose(now time.Time, query Query, random *rand.Rand) (Choice, bool) {
	p.see(now, query.Service)
	candidates := p.candidates(now, query, random)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	usual, paced := p.usual(now, query.Service)
	if paced {
		candidates = p.drawn(now, ramped(now, candidates, random), usual, query, random)
	}
	agreed := p.agreed(query, candidates, sharedMinimum)
	zone := cmp.Or(query.Zone, p.settings.Zone)
	many := p.Count(query.Service) > mostCompared // of few, connections to all are kept
	best, least, typical := Choice{}, math.Inf(1), p.typicalOf(now, query.Service)
	for _, e := range candidates {
		choice := p.consider(now, e, query)
		if paced {
			choice.Pace = e.paceOf(now, usual)
		}
		choice.Slowness = p.slowness(now, e, typical)
		cost := p.cost(e, choice, e == agreed, zone) + tieCost*random.Float64()
		if many && now.Sub(e.usedAt) >= connectionLife {
			cost += newConnectionCost
		}
		if cost < least {
			best, least = choice, cost
		}
	}
	return best, true
}

// candidates are the workers that a choice compares: of a few all, of many a sample.
func (p *Pool) candidates(now time.Time, query Query, random *rand.Rand) []*entry {
	if query.Worker != "" {
		return p.only(now, query)
	}
	lists := p.roster(query.Service).lists(query.Groups)
	listed := 0
	for _, list := range lists {
		listed += len(list)
	}
	if listed > mostCompared {
		if usable, _ := p.usable(now, query, p.sample(query, lists, listed, random)); len(usable) >= leastSampled {
			return usable
		}
	}
	var usable, doubtful []*entry
	for _, list := range lists {
		some, others := p.usable(now, query, list)
		usable, doubtful = append(usable, some...), append(doubtful, others...)
	}
	if len(usable) == 0 && query.Limit == 0 {
		return doubtful
	}
	return usable
}

// only is the one worker that a query names, if it may be chosen.
func (p *Pool) only(now time.Time, query Query) []*entry {
	e, ok := p.entries[query.Worker]
	if !ok || e.Service != query.Service {
		return nil
	}
	usable, doubtful := p.usable(now, query, []*entry{e})
	return append(usable, doubtful...)
}

// usable divides workers into those that may be chosen and those that may where there is
// no other.
func (p *Pool) usable(now time.Time, query Query, list []*entry) (usable, doubtful []*entry) {
	for _, e := range list {
		switch {
		case !p.takes(e) || slices.Contains(query.Excluded, e.ID):
		case query.Only != nil && !query.Only(e.ID):
		case query.Fits != nil && !query.Fits(p.occupancy(now, e)):
		case query.Limit > 0 && p.loadOf(now, e)+1 > query.Limit*float64(e.slots):
		case now.Before(e.downUntil) || now.Before(e.fullUntil) || e.outlier.out(now):
			doubtful = append(doubtful, e)
		case e.outlier.onTrial(now) && p.loadOf(now, e) >= 1:
			doubtful = append(doubtful, e)
		default:
			usable = append(usable, e)
		}
	}
	return usable, doubtful
}

func (p *Pool) consider(now time.Time, e *entry, query Query) Choice {
	total := query.Tokens
	if total == 0 {
		for _, part := range query.Parts {
			total += part.Tokens
		}
	}
	age := time.Duration(-1)
	if !e.reported.IsZero() {
		age = now.Sub(e.reported)
	}
	return Choice{
		Worker: e.Worker, Unread: max(total-e.parts.cached(query.Parts), 0),
		Load: p.loadOf(now, e), Slots: e.slots, Age: age,
	}
}

// ramped leaves out of a choice the workers that are not offered to it, unless these
// are all.
func ramped(now time.Time, candidates []*entry, random *rand.Rand) []*entry {
	kept := make([]*entry, 0, len(candidates))
	for _, e := range candidates {
		if part := e.offered(now); part >= 1 || random.Float64() < part {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// drawn draws the workers that a choice compares, each with a chance after its speed.
// Processes that all compared the same workers, on what they knew of a few requests
// each, would all choose the same ones. The worker that they agree on for a large part,
// and one that has read the most of this prompt, are among them where reading that takes
// longer than the request's own work.
func (p *Pool) drawn(now time.Time, candidates []*entry, usual float64, query Query, random *rand.Rand) []*entry {
	if p.settings.Draw == 0 || len(candidates) <= p.settings.Draw {
		return candidates
	}
	upTo := make([]float64, len(candidates))
	sum := 0.0
	for i, e := range candidates {
		slow := usual
		if e.pace.known(now) {
			slow = e.pace.slow
		}
		sum += 1 / slow
		upTo[i] = sum
	}
	kept := make([]*entry, 0, p.settings.Draw+1)
	if agreed := p.agreed(query, candidates, workCost); agreed != nil {
		kept = append(kept, agreed)
	}
	if keeps := keeper(query.Parts, candidates, random); keeps != nil && !slices.Contains(kept, keeps) {
		kept = append(kept, keeps)
	}
	for range p.settings.Draw {
		i, _ := slices.BinarySearch(upTo, sum*random.Float64())
		if e := candidates[min(i, len(candidates)-1)]; !slices.Contains(kept, e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// keeper is a worker that has read the most of a prompt, drawn among those alike; nil
// where none has read more than a request's own work.
func keeper(parts []Part, candidates []*entry, random *rand.Rand) *entry {
	var best *entry
	most, alike := int(workCost), 0
	for _, e := range candidates {
		read := e.parts.cached(parts)
		switch {
		case read > most:
			best, most, alike = e, read, 1
		case best != nil && read == most:
			if alike++; random.IntN(alike) == 0 {
				best = e
			}
		}
	}
	return best
}

// cost adds up what makes a worker a worse choice.
func (p *Pool) cost(e *entry, choice Choice, agreed bool, zone string) float64 {
	unread := float64(choice.Unread)
	if agreed {
		unread *= agreedDiscount
	}
	slots := float64(max(choice.Slots, 1))
	cost := unread + float64(e.ownTokens) + slotCost*choice.Load/slots
	if over := choice.Load + 1 - slots; over > 0 {
		cost += queueCost * over / slots
	}
	if choice.Pace.Source != PaceUnknown {
		cost = atPace(cost, choice.Pace.Value)
	}
	if choice.Slowness > 1 {
		cost = atPace(cost, choice.Slowness)
	}
	if e.Zone != zone {
		cost += otherZoneCost
	}
	cost += brokenCost * float64(e.broken)
	if e.ColdFor > 0 {
		cost += coldCost
	}
	return cost
}

// atPace is what a request costs with its own work, at a pace; that of the usual pace
// stays as it is.
func atPace(cost, pace float64) float64 { return pace*(cost+workCost) - workCost }

// agreed is the worker that every process that sees the same workers agrees on for the
// longest shared part; nil where none is longer than a minimum.
func (p *Pool) agreed(query Query, candidates []*entry, minimum int) *entry {
	part := longestShared(query.Parts, minimum)
	if part == "" {
		return nil
	}
	if p.roster(query.Service).all.len() > mostCompared {
		ringed := p.onRing(query.Service, part)
		if slices.Contains(candidates, ringed) {
			return ringed
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

// longestShared is the longest part of a prompt but the last; empty where none is longer
// than a minimum.
func longestShared(parts []Part, minimum int) string {
	id, tokens := "", minimum
	for _, part := range parts[:max(len(parts)-1, 0)] {
		if part.Tokens > tokens {
			id, tokens = part.ID, part.Tokens
		}
	}
	return id
}

// Sent notes that a request with these parts went to a worker.
func (p *Pool) Sent(id string, parts []Part) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	p.roster(e.Service).used(e)
	if len(parts) == 0 {
		return
	}
	bound := int(float64(p.capacity[e.Service]) * p.settings.CacheShare)
	if e.parts == nil {
		e.parts = newPartSet()
	}
	e.parts.add(parts, bound)
}
