package worker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// serviceIndex holds the workers of one service in several orders. Workers with a known
// pace, interval or outcome are listed separately, so that a choice costs time by their
// number and not by the size of the fleet.
type serviceIndex struct {
	all          sortedEntries
	groups       map[int]*sortedEntries
	zones        map[string]*sortedEntries
	ring         sortedEntries // by the hash of the ID
	unseen       []*entry
	withPace     []*entry       // with a known pace
	withInterval []*entry       // with observed streams
	withOutcomes []*entry       // with reported outcomes
	recent       []*entry       // most recently used by this process first
	versions     map[string]int // number of workers by software version
}

func newServiceIndex() *serviceIndex {
	return &serviceIndex{
		all: sortedEntries{compare: byID}, ring: sortedEntries{compare: byHash}, groups: map[int]*sortedEntries{}, zones: map[string]*sortedEntries{}, versions: map[string]int{},
	}
}

func byID(a, b *entry) int { return cmp.Compare(a.ID, b.ID) }

func byHash(a, b *entry) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) }

func (r *serviceIndex) add(e *entry) {
	e.hash = xxhash.Sum64String(e.ID)
	r.all.add(e)
	r.ring.add(e)
	orderFor(r.groups, e.group).add(e)
	orderFor(r.zones, e.Zone).add(e)
	r.unseen = append(r.unseen, e)
	r.countVersion(e.Version, 1)
}

// countVersion changes the number of workers of a software version.
func (r *serviceIndex) countVersion(version string, by int) {
	if r.versions[version] += by; r.versions[version] == 0 {
		delete(r.versions, version)
	}
}

func (r *serviceIndex) remove(e *entry) {
	r.countVersion(e.Version, -1)
	r.all.remove(e)
	r.ring.remove(e)
	orderFor(r.groups, e.group).remove(e)
	orderFor(r.zones, e.Zone).remove(e)
	for _, list := range []*[]*entry{&r.unseen, &r.withPace, &r.withInterval, &r.withOutcomes, &r.recent} {
		if at := slices.Index(*list, e); at >= 0 {
			*list = slices.Delete(*list, at, at+1)
		}
	}
}

// move changes the zone under which an entry is listed.
func (r *serviceIndex) move(e *entry, zone string) {
	orderFor(r.zones, e.Zone).remove(e)
	orderFor(r.zones, zone).add(e)
}

// markRecent records that a request is sent to a worker.
func (r *serviceIndex) markRecent(e *entry) {
	if at := slices.Index(r.recent, e); at >= 0 {
		r.recent = slices.Delete(r.recent, at, at+1)
	}
	r.recent = slices.Insert(r.recent, 0, e)
	if len(r.recent) > maxRecent {
		r.recent = r.recent[:maxRecent]
	}
}

// regroup rebuilds the lists by group.
func (r *serviceIndex) regroup() {
	r.groups = map[int]*sortedEntries{}
	for _, e := range r.all.list() {
		orderFor(r.groups, e.group).add(e)
	}
}

func orderFor[K comparable](parts map[K]*sortedEntries, key K) *sortedEntries {
	part := parts[key]
	if part == nil {
		part = &sortedEntries{compare: byID}
		parts[key] = part
	}
	return part
}

// lists returns the entries of the given groups; nil groups select all.
func (r *serviceIndex) lists(groups []int) [][]*entry {
	if groups == nil {
		return [][]*entry{r.all.list()}
	}
	lists := make([][]*entry, 0, len(groups))
	for _, group := range groups {
		if part := r.groups[group]; part != nil {
			lists = append(lists, part.list())
		}
	}
	return lists
}

// maxSingleInserts is the number of pending entries up to which they are inserted one by
// one; more are appended and sorted together.
const maxSingleInserts = 8

// sortedEntries is a sorted list of distinct entries. Added entries stay pending until the
// list is read, so that adding thousands of workers sorts once.
type sortedEntries struct {
	compare func(a, b *entry) int
	sorted  []*entry
	pending []*entry
}

func (o *sortedEntries) add(e *entry) { o.pending = append(o.pending, e) }

func (o *sortedEntries) remove(e *entry) {
	if at := slices.Index(o.pending, e); at >= 0 {
		o.pending = slices.Delete(o.pending, at, at+1)
		return
	}
	if at, found := slices.BinarySearchFunc(o.sorted, e, o.compare); found {
		o.sorted = slices.Delete(o.sorted, at, at+1)
	}
}

// list returns the entries. The result must not be modified and is valid until the next
// change.
func (o *sortedEntries) list() []*entry {
	if len(o.pending) > maxSingleInserts {
		o.sorted = append(o.sorted, o.pending...)
		slices.SortFunc(o.sorted, o.compare)
		o.pending = nil
	}
	for _, e := range o.pending {
		at, _ := slices.BinarySearchFunc(o.sorted, e, o.compare)
		o.sorted = slices.Insert(o.sorted, at, e)
	}
	clear(o.pending)
	o.pending = o.pending[:0]
	return o.sorted
}

func (o *sortedEntries) len() int { return len(o.sorted) + len(o.pending) }
