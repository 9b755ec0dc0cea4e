package worker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// roster is the workers of one service in the orders in which they are looked at. What is
// known only of some of them is listed apart, so that a choice costs what is known and not
// what is listed.
type roster struct {
	all    order
	groups map[int]*order
	zones  map[string]*order
	ring   order // by the hash of the id
	unseen []*entry
	paced  []*entry // of which a pace was told
	timed  []*entry // of which streams were observed
	judged []*entry // of which outcomes were told
	recent []*entry // that this process used last, the last one first
}

func newRoster() *roster {
	return &roster{
		all: order{compare: byID}, ring: order{compare: byHash}, groups: map[int]*order{}, zones: map[string]*order{},
	}
}

func byID(a, b *entry) int { return cmp.Compare(a.ID, b.ID) }

func byHash(a, b *entry) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) }

func (r *roster) add(e *entry) {
	e.hash = xxhash.Sum64String(e.ID)
	r.all.add(e)
	r.ring.add(e)
	partOf(r.groups, e.group).add(e)
	partOf(r.zones, e.Zone).add(e)
	r.unseen = append(r.unseen, e)
}

func (r *roster) remove(e *entry) {
	r.all.remove(e)
	r.ring.remove(e)
	partOf(r.groups, e.group).remove(e)
	partOf(r.zones, e.Zone).remove(e)
	for _, some := range []*[]*entry{&r.unseen, &r.paced, &r.timed, &r.judged, &r.recent} {
		if at := slices.Index(*some, e); at >= 0 {
			*some = slices.Delete(*some, at, at+1)
		}
	}
}

// move lists an entry under another zone.
func (r *roster) move(e *entry, zone string) {
	partOf(r.zones, e.Zone).remove(e)
	partOf(r.zones, zone).add(e)
}

// used notes that a request goes to a worker.
func (r *roster) used(e *entry) {
	if at := slices.Index(r.recent, e); at >= 0 {
		r.recent = slices.Delete(r.recent, at, at+1)
	}
	r.recent = slices.Insert(r.recent, 0, e)
	if len(r.recent) > mostRecent {
		r.recent = r.recent[:mostRecent]
	}
}

// regroup lists the entries under their groups anew.
func (r *roster) regroup() {
	r.groups = map[int]*order{}
	for _, e := range r.all.list() {
		partOf(r.groups, e.group).add(e)
	}
}

func partOf[K comparable](parts map[K]*order, key K) *order {
	part := parts[key]
	if part == nil {
		part = &order{compare: byID}
		parts[key] = part
	}
	return part
}

// lists gives the entries of some groups; nil groups are all.
func (r *roster) lists(groups []int) [][]*entry {
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

// fewAdded entries are put in their places one by one; more are sorted in together.
const fewAdded = 8

// order is entries sorted without equal ones. What is added waits until the order is read:
// the start of thousands of workers sorts them once and not once a worker.
type order struct {
	compare func(a, b *entry) int
	sorted  []*entry
	added   []*entry
}

func (o *order) add(e *entry) { o.added = append(o.added, e) }

func (o *order) remove(e *entry) {
	if at := slices.Index(o.added, e); at >= 0 {
		o.added = slices.Delete(o.added, at, at+1)
		return
	}
	if at, found := slices.BinarySearchFunc(o.sorted, e, o.compare); found {
		o.sorted = slices.Delete(o.sorted, at, at+1)
	}
}

// list gives the entries; it must not be changed, and holds until the next change.
func (o *order) list() []*entry {
	if len(o.added) > fewAdded {
		o.sorted = append(o.sorted, o.added...)
		slices.SortFunc(o.sorted, o.compare)
		o.added = nil
	}
	for _, e := range o.added {
		at, _ := slices.BinarySearchFunc(o.sorted, e, o.compare)
		o.sorted = slices.Insert(o.sorted, at, e)
	}
	clear(o.added)
	o.added = o.added[:0]
	return o.sorted
}

func (o *order) len() int { return len(o.sorted) + len(o.added) }
