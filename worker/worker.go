// Package worker tracks the workers of each service as seen by one process: which exist, how
// loaded they are, and which prompt parts they have cached. Pool.Choose selects a worker for
// a request. The package does no I/O and reads no clock: callers pass the current time.
package worker

import (
	"maps"
	"slices"
	"time"
)

// Part is a section of a prompt. Requests that share it use the same ID.
type Part struct {
	ID     string
	Tokens int
}

// PartIDs returns the IDs of parts, in order.
func PartIDs(parts []Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return ids
}

// Load is a worker's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the worker's current service time as a multiple of the usual one; it exceeds 1
	// where the machine is shared. 0 if not reported.
	Pace float64
}

// Worker is one incarnation of a back end, as listed by its platform.
type Worker struct {
	ID         string
	StartedAt  time.Time // start time by the worker's own clock; zero if unknown
	Service    string
	Address    string // host:port
	Zone       string
	Version    string        // of its software; empty if unknown
	Slots      int           // number of requests served concurrently; 0 if unknown
	Draining   bool          // draining: accepts no new requests
	WarmupTime time.Duration // warm-up time after a start, during which it is slow
}

// Settings configures a Pool.
type Settings struct {
	Zone string // zone of this process
	// RefusedBackoff is how long a worker is excluded after it refused a connection.
	RefusedBackoff time.Duration
	// LoadTTL is how long the other processes' part of a reported load stays valid.
	LoadTTL time.Duration
	// CacheFraction is the fraction of an engine's memory assumed to cache prompt parts.
	CacheFraction float64
	// SampleSize is the number of workers sampled per choice where workers report their pace.
	// Sampling keeps many processes, each with few observations per worker, from choosing
	// the same one. 0 compares all.
	SampleSize int
	// GroupOf returns the group of a worker, which Query.Groups filters by. If nil, all
	// workers are in group 0.
	GroupOf func(id string) int
}

// DefaultSettings returns settings for requests that take around a second.
func DefaultSettings(zone string) Settings {
	return Settings{Zone: zone, RefusedBackoff: time.Second, LoadTTL: 3 * time.Second, CacheFraction: 0.5}
}

// TwoChoiceSettings returns DefaultSettings with two-choice sampling, for one of many processes
// that choose concurrently and observe each worker rarely. The better of two random workers
// is nearly as good as the best of all and avoids herding.
func TwoChoiceSettings(zone string) Settings {
	settings := DefaultSettings(zone)
	settings.SampleSize = 2
	return settings
}

// Pool is a set of workers. It is not safe for concurrent use.
type Pool struct {
	settings Settings
	entries  map[string]*entry
	indexes  map[string]*serviceIndex // by service
	capacity map[string]int           // memory of an engine in tokens, by service
	// evacuated holds the zones whose workers receive no requests.
	evacuated    map[string]bool
	seenServices map[string]bool // services for which Choose has been called
	baselines    map[string]intervalBaseline
}

// entry is a worker with the state this process keeps for it.
type entry struct {
	Worker
	inFlight          int // requests of this process
	pendingTokens     int // prompt tokens sent by this process and not yet read
	otherInFlight     float64
	otherExact        bool      // otherInFlight was reported by the processes themselves; kept until the next such report
	reportedAt        time.Time // when otherInFlight was last updated
	slots             int       // as reported by the worker, else as listed
	downUntil         time.Time // excluded until then after failures
	failures          int       // consecutive failures
	consecutiveBroken int       // consecutive interrupted answers
	parts             *partSet
	fullUntil         time.Time
	pace              paceEstimate
	outlier           outlier
	eventInterval     intervalMean
	firstSeen         time.Time // first choice that considered this worker
	addedLater        bool      // the service had been chosen from before this worker appeared
	group             int       // from Settings.GroupOf
	hash              uint64    // hash of the ID
	lastUsed          time.Time // last use by this process
}

// NewPool returns an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{
		settings: settings, entries: map[string]*entry{}, indexes: map[string]*serviceIndex{}, capacity: map[string]int{}, evacuated: map[string]bool{},
		seenServices: map[string]bool{}, baselines: map[string]intervalBaseline{},
	}
}

// SetCapacity sets the memory, in tokens, of each engine of a service.
func (p *Pool) SetCapacity(service string, tokens int) { p.capacity[service] = tokens }

// Put adds a worker or updates its listing. A later incarnation starts with fresh state; an
// earlier one is ignored.
func (p *Pool) Put(w Worker) {
	listed, ok := p.entries[w.ID]
	if ok && w.Incarnation().Before(listed.Incarnation()) {
		return
	}
	if ok && listed.Service == w.Service && !w.Incarnation().Supersedes(listed.Incarnation()) {
		if w.StartedAt.IsZero() {
			w.StartedAt = listed.StartedAt
		}
		if listed.Zone != w.Zone {
			p.index(w.Service).move(listed, w.Zone)
		}
		if listed.Version != w.Version {
			p.index(w.Service).countVersion(listed.Version, -1)
			p.index(w.Service).countVersion(w.Version, 1)
		}
		listed.Worker = w
		if w.Slots > 0 {
			listed.slots = w.Slots
		}
		return
	}
	p.Remove(w.ID)
	added := &entry{Worker: w, slots: max(w.Slots, 1), group: p.groupOf(w.ID)}
	p.entries[w.ID] = added
	p.index(w.Service).add(added)
}

// index returns the index of a service and creates it if needed.
func (p *Pool) index(service string) *serviceIndex {
	r := p.indexes[service]
	if r == nil {
		r = newServiceIndex()
		p.indexes[service] = r
	}
	return r
}

func (p *Pool) groupOf(id string) int {
	if p.settings.GroupOf == nil {
		return 0
	}
	return p.settings.GroupOf(id)
}

// SetGroups replaces Settings.GroupOf and regroups all workers.
func (p *Pool) SetGroups(groupOf func(id string) int) {
	p.settings.GroupOf = groupOf
	for _, e := range p.entries {
		e.group = p.groupOf(e.ID)
	}
	for _, r := range p.indexes {
		r.regroup()
	}
}

// Remove deletes a worker. Requests sent to it may still finish.
func (p *Pool) Remove(id string) {
	known, ok := p.entries[id]
	if !ok {
		return
	}
	delete(p.entries, id)
	p.index(known.Service).remove(known)
}

// CurrentIncarnation returns the incarnation of a worker, and whether the worker is listed.
func (p *Pool) CurrentIncarnation(id string) (Incarnation, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Incarnation{}, false
	}
	return e.Incarnation(), true
}

// Accepts reports whether a worker is listed, is not draining and is not in an evacuated
// zone.
func (p *Pool) Accepts(id string) bool {
	e, ok := p.entries[id]
	return ok && p.accepts(e)
}

func (p *Pool) accepts(e *entry) bool { return !e.Draining && !p.evacuated[e.Zone] }

// SetEvacuated sets whether the workers of a zone are excluded from new requests.
func (p *Pool) SetEvacuated(zone string, evacuated bool) {
	if evacuated {
		p.evacuated[zone] = true
		return
	}
	delete(p.evacuated, zone)
}

// Workers returns a service's workers sorted by ID, limited to the given groups if any.
func (p *Pool) Workers(service string, groups ...int) []Worker {
	var list []Worker
	for _, part := range p.index(service).lists(groups) {
		list = slices.Grow(list, len(part))
		for _, e := range part {
			list = append(list, e.Worker)
		}
	}
	return list
}

// Count returns the number of workers listed for a service.
func (p *Pool) Count(service string) int { return p.index(service).all.len() }

// VersionOf returns the software version of a worker, and whether the worker is listed.
func (p *Pool) VersionOf(id string) (version string, ok bool) {
	e, ok := p.entries[id]
	if !ok {
		return "", false
	}
	return e.Version, true
}

// Versions returns the software versions of a service's workers, sorted.
func (p *Pool) Versions(service string) []string {
	return slices.Sorted(maps.Keys(p.index(service).versions))
}

// ServesVersion reports whether a worker of a service with a software version accepts requests,
// limited to the given groups if any.
func (p *Pool) ServesVersion(service, version string, groups ...int) bool {
	if p.index(service).versions[version] == 0 {
		return false
	}
	for _, part := range p.index(service).lists(groups) {
		if slices.ContainsFunc(part, func(e *entry) bool { return e.Version == version && p.accepts(e) }) {
			return true
		}
	}
	return false
}

// Occupancy is the estimated occupancy of a worker.
type Occupancy struct {
	Worker
	InFlight      int  // requests of this process
	OtherInFlight int  // requests of other processes
	Usable        bool // accepts requests, as far as is known
}

// Occupancies returns the occupancy of a service's workers sorted by ID, limited to the
// given groups if any.
func (p *Pool) Occupancies(now time.Time, service string, groups ...int) []Occupancy {
	var list []Occupancy
	p.EachOccupancy(now, service, groups, func(o Occupancy) { list = append(list, o) })
	return list
}

// EachOccupancy calls visit for each entry that Occupancies would return; nil groups select
// all workers.
func (p *Pool) EachOccupancy(now time.Time, service string, groups []int, visit func(Occupancy)) {
	for _, part := range p.index(service).lists(groups) {
		for _, e := range part {
			visit(p.occupancy(now, e))
		}
	}
}

// OccupancyOf returns the occupancy of a worker, and whether the worker is listed.
func (p *Pool) OccupancyOf(now time.Time, id string) (Occupancy, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Occupancy{}, false
	}
	return p.occupancy(now, e), true
}

func (p *Pool) occupancy(now time.Time, e *entry) Occupancy {
	occupancy := Occupancy{Worker: e.Worker, InFlight: e.inFlight, OtherInFlight: int(p.estimateLoad(now, e)+0.5) - e.inFlight}
	occupancy.Slots = e.slots
	if e.outlier.probing(now) { // requests that still run there need not be preempted
		occupancy.Slots = min(max(occupancy.InFlight+occupancy.OtherInFlight, 1), e.slots)
	}
	occupancy.Usable = p.accepts(e) && !now.Before(e.downUntil) && !now.Before(e.fullUntil) && !e.outlier.ejected(now)
	return occupancy
}
