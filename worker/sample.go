package worker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Of how many workers a choice is made. Of some hundreds all are compared, as the last one
// may hold the prompt. Of thousands a sample is nearly as good: of so many drawn ones the
// least loaded is among the emptiest tenth but once in 10,000, and no two processes that
// hear the same news rush to the same worker.
const (
	mostCompared = 384
	// sampledNear are drawn of the zone, sampledFar of all.
	sampledNear = 48
	sampledFar  = 48
	// leastSampled of a sample have to be usable; else all are looked at.
	leastSampled = 2
	// mostRecent are the workers that this process used last: it keeps connections to
	// them, and they have read parts of its prompts.
	mostRecent = 8
)

// sample draws the workers that a choice among many compares: those that this process used
// last, the one that all agree on for the prompt, and some at random, most of the zone.
func (p *Pool) sample(query Query, lists [][]*entry, listed int, random *rand.Rand) []*entry {
	r := p.roster(query.Service)
	drawn := make([]*entry, 0, mostRecent+1+sampledNear+sampledFar)
	take := func(e *entry) {
		allowed := query.Groups == nil || slices.Contains(query.Groups, e.group)
		if allowed && !slices.Contains(drawn, e) {
			drawn = append(drawn, e)
		}
	}
	for _, e := range r.recent {
		take(e)
	}
	if part := longestShared(query.Parts, sharedMinimum); part != "" {
		take(p.onRing(query.Service, part))
	}
	if near := r.zones[cmp.Or(query.Zone, p.settings.Zone)]; near != nil && near.len() > 0 {
		for range sampledNear {
			take(near.list()[random.IntN(near.len())])
		}
	}
	for range sampledFar {
		take(at(lists, random.IntN(listed)))
	}
	return drawn
}

// at is an entry of some lists, counted through them.
func at(lists [][]*entry, n int) *entry {
	for _, list := range lists {
		if n < len(list) {
			return list[n]
		}
		n -= len(list)
	}
	return nil
}

// onRing is the worker that all processes agree on for a part of prompts: the first that
// takes requests after the part's place on the ring.
func (p *Pool) onRing(service, part string) *entry {
	ring := p.roster(service).ring.list()
	place := xxhash.Sum64String(part)
	first := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= place })
	for i := range ring {
		if e := ring[(first+i)%len(ring)]; p.takes(e) {
			return e
		}
	}
	return nil
}
