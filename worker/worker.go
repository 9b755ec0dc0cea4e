// Package worker keeps what one process believes of the workers of each service:
// who is there, how much each holds, and which parts of prompts it has read. It
// has no input or output and no clock: time is passed in. Choosing is Choose.
package worker

import (
	"slices"
	"time"
)

// Part is a part of a prompt, shared between requests by its ID.
type Part struct {
	ID     string
	Tokens int
}

// Load is what a worker says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there now, as a multiple of the usual time: its
	// machine is shared. 0 when not told.
	Pace float64
}

// Worker is one incarnation of a back end as its platform lists it.
type Worker struct {
	ID      string
	Born    time.Time // when it started, by its own clock; zero when not told
	Service string
	Address string // host:port
	Zone    string
	Slots   int           // requests that it works on at once; 0 when not told
	Leaving bool          // it takes nothing new
	ColdFor time.Duration // it is slow for so long after its start
}

// Settings of a Pool.
type Settings struct {
	Zone string // of this process
	// DownFor is how long a worker that refused a connection is left out.
	DownFor time.Duration
	// LoadLife is how long others' share of a reported load is believed.
	LoadLife time.Duration
	// CacheShare of an engine's memory is thought to keep parts of prompts.
	CacheShare float64
	// Draw is how many workers are compared for a choice where they tell their paces, and
	// many processes choose that each see a worker rarely; 0: all.
	Draw int
	// GroupOf gives the group of a worker, by which Query.Groups leaves workers out; nil:
	// all are of group 0.
	GroupOf func(id string) int
}

// DefaultSettings suit a fleet whose requests take around a second.
func DefaultSettings(zone string) Settings {
	return Settings{Zone: zone, DownFor: time.Second, LoadLife: 3 * time.Second, CacheShare: 0.5}
}

// BlindSettings are DefaultSettings for one of many processes that choose at once and
// each see a worker rarely. Of two drawn ones the better is nearly as good as the best of
// all, and no two processes rush to the same.
func BlindSettings(zone string) Settings {
	settings := DefaultSettings(zone)
	settings.Draw = 2
	return settings
}

// Pool is the set of workers. It is not safe for concurrent use.
type Pool struct {
	settings Settings
	entries  map[string]*entry
	rosters  map[string]*roster // by service
	capacity map[string]int     // tokens of an engine's memory, by service
	// evacuated are zones whose workers are to get nothing.
	evacuated map[string]bool
	chosen    map[string]bool // services that a choice has looked at
	typical   map[string]typical
}

// entry is one worker with what this process knows of it.
type entry struct {
	Worker
	own       int // requests of this process there
	ownTokens int // of prompts, sent by this process and not yet read
	others    float64
	exact     bool      // others is what all others hold by their own word, until the next
	reported  time.Time // when others was learned
	slots     int       // by its reports, else by the list
	downUntil time.Time // it refused a connection
	failures  int       // in a row
	broken    int       // answers in a row that broke off
	parts     *partSet
	fullUntil time.Time
	pace      paceBelief
	outlier   outlier
	steps     steps
	seenAt    time.Time // by the first choice that looked at it
	joined    bool      // other workers of its service had been chosen from before that
	group     int       // by Settings.GroupOf
	hash      uint64    // of the id
	usedAt    time.Time // by this process, last
}

// NewPool gives an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{
		settings: settings, entries: map[string]*entry{}, rosters: map[string]*roster{}, capacity: map[string]int{}, evacuated: map[string]bool{},
		chosen: map[string]bool{}, typical: map[string]typical{},
	}
}

// SetCapacity tells the memory, in tokens, of each engine of a service.
func (p *Pool) SetCapacity(service string, tokens int) { p.capacity[service] = tokens }

// Put adds a worker or replaces what is listed of it. A later start of a worker begins with
// nothing that was believed of the one before; an earlier start changes nothing.
func (p *Pool) Put(w Worker) {
	listed, ok := p.entries[w.ID]
	if ok && w.Incarnation().Before(listed.Incarnation()) {
		return
	}
	if ok && listed.Service == w.Service && !w.Incarnation().Succeeds(listed.Incarnation()) {
		if w.Born.IsZero() {
			w.Born = listed.Born
		}
		if listed.Zone != w.Zone {
			p.roster(w.Service).move(listed, w.Zone)
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
	p.roster(w.Service).add(added)
}

// roster is what is listed of a service.
func (p *Pool) roster(service string) *roster {
	r := p.rosters[service]
	if r == nil {
		r = newRoster()
		p.rosters[service] = r
	}
	return r
}

func (p *Pool) groupOf(id string) int {
	if p.settings.GroupOf == nil {
		return 0
	}
	return p.settings.GroupOf(id)
}

// SetGroups divides the workers into groups anew.
func (p *Pool) SetGroups(groupOf func(id string) int) {
	p.settings.GroupOf = groupOf
	for _, e := range p.entries {
		e.group = p.groupOf(e.ID)
	}
	for _, r := range p.rosters {
		r.regroup()
	}
}

// Remove forgets a worker that is gone. Requests there may still end.
func (p *Pool) Remove(id string) {
	known, ok := p.entries[id]
	if !ok {
		return
	}
	delete(p.entries, id)
	p.roster(known.Service).remove(known)
}

// Current gives the incarnation of a worker that is listed.
func (p *Pool) Current(id string) (Incarnation, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Incarnation{}, false
	}
	return e.Incarnation(), true
}

// Accepts tells whether a worker is listed and may get requests: it does not leave, and
// its zone is not evacuated.
func (p *Pool) Accepts(id string) bool {
	e, ok := p.entries[id]
	return ok && p.takes(e)
}

func (p *Pool) takes(e *entry) bool { return !e.Leaving && !p.evacuated[e.Zone] }

// SetEvacuated tells whether nothing is to be sent to a zone's workers.
func (p *Pool) SetEvacuated(zone string, evacuated bool) {
	if evacuated {
		p.evacuated[zone] = true
		return
	}
	delete(p.evacuated, zone)
}

// Workers lists a service's workers, sorted by id; of some groups only where any are named.
func (p *Pool) Workers(service string, groups ...int) []Worker {
	var list []Worker
	for _, part := range p.roster(service).lists(groups) {
		list = slices.Grow(list, len(part))
		for _, e := range part {
			list = append(list, e.Worker)
		}
	}
	return list
}

// Count is how many workers of a service are listed.
func (p *Pool) Count(service string) int { return p.roster(service).all.len() }

// Begin notes a request sent to a worker, with the tokens of prompt to be read.
func (p *Pool) Begin(id string, tokens int) {
	if e, ok := p.entries[id]; ok {
		e.own++
		e.ownTokens += tokens
	}
}

// Started notes that a request's prompt has been read.
func (p *Pool) Started(id string, tokens int) {
	if e, ok := p.entries[id]; ok {
		e.ownTokens = max(e.ownTokens-tokens, 0)
	}
}

// End notes that a request has left a worker.
func (p *Pool) End(id string) {
	if e, ok := p.entries[id]; ok {
		e.own = max(e.own-1, 0)
	}
}

// Used notes that this process keeps a connection to a worker from now on.
func (p *Pool) Used(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.usedAt = now
	}
}

// Report takes a load that a worker told. What is not of this process is the
// others'.
func (p *Pool) Report(now time.Time, id string, load Load) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if load.Slots > 0 {
		e.slots = load.Slots
	}
	if !e.exact {
		e.others = float64(max(load.Running+load.Waiting-e.own, 0))
	}
	e.reported = now
	if load.Pace > 0 {
		p.notePaced(e)
		e.pace.tell(now, load.Pace, PaceTold)
	}
	e.failures, e.broken = 0, 0
	e.downUntil = time.Time{}
}

// SetOthers takes how many requests others hold at a worker, by their own word.
func (p *Pool) SetOthers(now time.Time, id string, held int) {
	if e, ok := p.entries[id]; ok {
		e.others = float64(held)
		e.reported = now
	}
}

// SetHeld takes what all others hold at a worker, by their own word: it holds until it is
// told anew, whatever the worker says of moments before.
func (p *Pool) SetHeld(now time.Time, id string, held int) {
	if e, ok := p.entries[id]; ok {
		e.others, e.exact = float64(held), true
		e.reported = now
	}
}

// ForgetHeld makes what others hold a guess again, at all workers.
func (p *Pool) ForgetHeld() {
	for _, e := range p.entries {
		e.exact = false
	}
}

// Occupancy is what is believed of one worker of a service.
type Occupancy struct {
	Worker
	Taken  int  // requests of this process
	Others int  // requests of others
	Usable bool // it takes requests, as far as is known
}

// Occupancies lists what is believed of a service's workers, sorted by id; of some groups
// only where any are named.
func (p *Pool) Occupancies(now time.Time, service string, groups ...int) []Occupancy {
	var list []Occupancy
	p.EachOccupancy(now, service, groups, func(o Occupancy) { list = append(list, o) })
	return list
}

// EachOccupancy calls visit with what Occupancies lists; nil groups are all.
func (p *Pool) EachOccupancy(now time.Time, service string, groups []int, visit func(Occupancy)) {
	for _, part := range p.roster(service).lists(groups) {
		for _, e := range part {
			visit(p.occupancy(now, e))
		}
	}
}

// OccupancyOf is what is believed of one worker; false where it is not listed.
func (p *Pool) OccupancyOf(now time.Time, id string) (Occupancy, bool) {
	e, ok := p.entries[id]
	if !ok {
		return Occupancy{}, false
	}
	return p.occupancy(now, e), true
}

func (p *Pool) occupancy(now time.Time, e *entry) Occupancy {
	occupancy := Occupancy{Worker: e.Worker, Taken: e.own, Others: int(p.loadOf(now, e)+0.5) - e.own}
	occupancy.Slots = e.slots
	if e.outlier.onTrial(now) { // nothing that still runs there has to give way
		occupancy.Slots = min(max(occupancy.Taken+occupancy.Others, 1), e.slots)
	}
	occupancy.Usable = p.takes(e) && !now.Before(e.downUntil) && !now.Before(e.fullUntil) && !e.outlier.out(now)
	return occupancy
}

// Refused notes that no connection could be made, or that one hung.
func (p *Pool) Refused(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.failures++
		e.downUntil = now.Add(p.settings.DownFor * time.Duration(min(e.failures, maximumBackoff)))
	}
}

// brokenInRow answers that broke off leave a worker out as a refused connection does.
// One alone says little of a worker that takes connections: where a twentieth of the
// answers were reset, a quarter of the slots of a leader's workers were left out.
const brokenInRow = 2

// Broke notes that a worker took a request and that its answer broke off.
func (p *Pool) Broke(now time.Time, id string) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if e.broken++; e.broken >= brokenInRow {
		p.Refused(now, id)
	}
}

// maximumBackoff bounds how DownFor grows with failures in a row.
const maximumBackoff = 4

// Full notes that a worker turned a request away.
func (p *Pool) Full(now time.Time, id string) {
	if e, ok := p.entries[id]; ok {
		e.fullUntil = now.Add(fullPause)
		if !e.exact {
			e.others = max(e.others, float64(e.slots-e.own))
		}
		e.reported = now
	}
}

// fullPause is how long a worker that turned a request away is left out.
const fullPause = 100 * time.Millisecond

// Held is how many requests of this process a worker has.
func (p *Pool) Held(id string) int {
	if e, ok := p.entries[id]; ok {
		return e.own
	}
	return 0
}

// loadOf estimates the requests at a worker now.
func (p *Pool) loadOf(now time.Time, e *entry) float64 {
	age := now.Sub(e.reported)
	if e.exact {
		return float64(e.own) + e.others
	}
	if e.reported.IsZero() || age >= p.settings.LoadLife {
		return float64(e.own)
	}
	fresh := 1 - float64(age)/float64(p.settings.LoadLife)
	return float64(e.own) + e.others*(0.5+0.5*fresh)
}
