package worker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Up to maxCompared workers are all compared, since any of them may have the prompt cached.
// Beyond that a choice compares a sample: it almost always contains one of the least loaded
// workers, and processes with the same information choose different ones.
const (
	maxCompared = 384
	// zoneSampleSize workers are drawn from the zone, globalSampleSize from all.
	zoneSampleSize   = 48
	globalSampleSize = 48
	// minUsableSample is the number of usable workers required in a sample; with fewer, all
	// are compared.
	minUsableSample = 2
	// maxRecent is the number of recently used workers included in a sample. This process
	// has connections to them, and they have parts of its prompts cached.
	maxRecent = 8
)

// sample draws the workers to compare in a large service: those recently used by this
// process, the affinity worker of the prompt, and random ones, half of them from the zone.
func (p *Pool) sample(query Query, lists [][]*entry, listed int, random *rand.Rand) []*entry {
	r := p.index(query.Service)
	drawn := make([]*entry, 0, maxRecent+1+zoneSampleSize+globalSampleSize)
	take := func(e *entry) {
		allowed := query.Groups == nil || slices.Contains(query.Groups, e.group)
		if allowed && !slices.Contains(drawn, e) {
			drawn = append(drawn, e)
		}
	}
	for _, e := range r.recent {
		take(e)
	}
	if part := longestShared(query.Parts, minSharedTokens); part != "" {
		take(p.ringOwner(query.Service, part))
	}
	if zone := r.zones[cmp.Or(query.Zone, p.settings.Zone)]; zone != nil && zone.len() > 0 {
		for range zoneSampleSize {
			take(zone.list()[random.IntN(zone.len())])
		}
	}
	for range globalSampleSize {
		take(entryAt(lists, random.IntN(listed)))
	}
	return drawn
}

// entryAt returns the nth entry of the concatenated lists.
func entryAt(lists [][]*entry, n int) *entry {
	for _, list := range lists {
		if n < len(list) {
			return list[n]
		}
		n -= len(list)
	}
	return nil
}

// ringOwner returns the worker that all processes agree on for a prompt part: the first one
// on the hash ring at or after the part's hash that accepts requests.
func (p *Pool) ringOwner(service, part string) *entry {
	ring := p.index(service).ring.list()
	place := xxhash.Sum64String(part)
	first := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= place })
	for i := range ring {
		if e := ring[(first+i)%len(ring)]; p.accepts(e) {
			return e
		}
	}
	return nil
}
