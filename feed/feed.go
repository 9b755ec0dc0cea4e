// Package feed selects the source from which a process reads the state and the changes
// of a key-value service. In a small zone every process polls the service itself. In a
// larger one a few watchers poll it with a short wait and the other members of the zone
// poll the watchers. A process whose watcher does not answer, or has lost contact with the
// service, tries another watcher, then a standby, and finally the service.
//
// A Chooser is a state machine without I/O or a clock: callers pass the current time.
package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Member is a process of this zone.
type Member struct {
	ID      api.NodeID
	Address string // of its internal protocol, host:port
	// Preferred members have spare capacity and become watchers first.
	Preferred bool
}

// Settings configure a Chooser.
type Settings struct {
	Self     api.NodeID
	Watchers int // per zone
	// Standbys is the number of standbys per zone: the members ranked after the watchers,
	// which poll the service as soon as the watchers have lost contact with it. The
	// remaining members poll them before they fall back to the service.
	Standbys int
	// LongWait is the long-poll wait at the service of a process that polls it for itself
	// only. ShortWait is the wait where watchers poll for the zone.
	LongWait  time.Duration
	ShortWait time.Duration
	// MaxStaleness is the maximum staleness: the time since a watcher's last answer from the
	// service after which other members stop relying on it.
	MaxStaleness time.Duration
	// StartupWait is how long a process that has no state yet waits for watchers that have none
	// either.
	StartupWait time.Duration
	// FallbackDelay is the time after its last answer at which a process that is neither a watcher
	// nor a standby polls the service itself, while the watchers and standbys report that
	// they have lost contact.
	FallbackDelay time.Duration
}

// Fractions of the time within which a change must reach every process. The loss of a
// watcher is detected within the maximum staleness; the rest is left for polling another
// watcher and then the service.
const (
	shortWaitShare    = 0.3
	batchDelayShare   = 0.12
	maxStalenessShare = 0.5
	// fallbackShare leaves enough time to read the full state. It keeps followers off a
	// service whose watches are silent for a few seconds.
	fallbackShare = 0.6
	// startupShare bounds the wait for watchers that started at the same time, so that a
	// starting fleet costs the service only the calls of its watchers.
	startupShare = 0.3
)

// watchersPerZone provides one spare watcher that is already in contact with the service.
const watchersPerZone = 2

// standbysPerZone members replace watchers that the service rejects while it still serves
// others.
const standbysPerZone = 2

// NewSettings returns the settings for a fleet in which every process must learn of a change
// within apply. longWait is the long-poll wait of a process that polls for itself only.
func NewSettings(self api.NodeID, apply, longWait time.Duration) Settings {
	part := func(share float64) time.Duration { return time.Duration(share * float64(apply)) }
	return Settings{Self: self, Watchers: watchersPerZone, Standbys: standbysPerZone, LongWait: longWait, ShortWait: part(shortWaitShare), MaxStaleness: part(maxStalenessShare), StartupWait: part(startupShare), FallbackDelay: part(fallbackShare)}
}

// PeerLoadWait is how long a peer that is reading the full state may hold a query for it.
func (s Settings) PeerLoadWait() time.Duration { return s.StartupWait / 2 }

// BatchDelay is the delay before a watcher's next poll after one that returned changes, so
// that further changes arrive in one batch.
func (s Settings) BatchDelay() time.Duration {
	return time.Duration(batchDelayShare / shortWaitShare * float64(s.ShortWait))
}

// Query is a query to a peer or to the service.
type Query struct {
	Peer Member // zero: the service itself
	// Wait is the maximum time until the answer while there is no change; 0: answer
	// immediately.
	Wait time.Duration
	// NotBefore is the earliest time to send the query.
	NotBefore time.Time
}

// ToService reports whether the query goes to the service itself.
func (q Query) ToService() bool { return q.Peer.ID == "" }

// Outcome is the result of a query.
type Outcome int

const (
	Answered    Outcome = iota
	Stale               // the peer has lost contact with the service, or its state is older
	Unreachable         // no answer, or an error
	Loading             // the peer is reading the full state and has got further since its last answer
)

// Backoff before a failed source is queried again. That of a peer is longer than a round
// trip and shorter than the time a change may take. Followers back off longer from the
// service, to leave it to their watchers.
const (
	staleBackoff           = 300 * time.Millisecond
	unreachableBackoff     = time.Second
	minServiceBackoff      = 50 * time.Millisecond
	maxServiceBackoff      = 500 * time.Millisecond
	followerServiceBackoff = 2 * time.Second
	maxDoublings           = 4
)

// Chooser selects the next query of one process. Create it with New. It is not safe for
// concurrent use.
type Chooser struct {
	settings       Settings
	ranked         []Member // of the zone, watchers first
	rank           int      // of this process in ranked; -1: not a member
	remoteWatchers []Member // the first watcher of each other zone
	sources        map[api.NodeID]*sourceState
	lastSource     api.NodeID // source of the last answer
	lastAnswer     time.Time  // time of the last answer; zero: none yet
	staleSince     time.Time  // first stale answer of a peer since lastAnswer; zero: none
	lastPage       time.Time  // time of the last page of an incomplete full state; zero: none
	lastPageTook   time.Duration
}

// sourceState records the failures of a peer, or of the service under the empty id.
type sourceState struct {
	failures  int // consecutive
	notBefore time.Time
}

// New returns a Chooser that knows no other process yet.
func New(settings Settings) *Chooser {
	return &Chooser{settings: settings, sources: map[api.NodeID]*sourceState{}}
}

// SetMembers replaces the processes of the zone that can be queried, including this one.
func (c *Chooser) SetMembers(members []Member) {
	c.ranked = slices.Clone(members)
	slices.SortFunc(c.ranked, compareRank)
	c.rank = slices.IndexFunc(c.ranked, func(m Member) bool { return m.ID == c.settings.Self })
	known := map[api.NodeID]bool{"": true}
	for _, member := range members {
		known[member.ID] = true
	}
	for _, member := range c.remoteWatchers {
		known[member.ID] = true
	}
	for id := range c.sources {
		if !known[id] {
			delete(c.sources, id)
		}
	}
}

// compareRank orders members with spare capacity first, and then by a hash of the id.
func compareRank(a, b Member) int {
	return cmp.Or(-compareBool(a.Preferred, b.Preferred), cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
}

// SetRemoteMembers replaces the known candidates for watchers in other zones, one list per zone.
func (c *Chooser) SetRemoteMembers(zones [][]Member) {
	c.remoteWatchers = c.remoteWatchers[:0]
	for _, members := range zones {
		if len(members) > 0 {
			c.remoteWatchers = append(c.remoteWatchers, slices.MinFunc(members, compareRank))
		}
	}
	slices.SortFunc(c.remoteWatchers, compareRank)
}

// upstreams lists the watchers from which this watcher may read the full state, preferred
// first. The watchers of the fleet form one order and read from those before them, so that
// only the first one reads every page of the state from the service.
func (c *Chooser) upstreams() []Member {
	if c.rank > 0 {
		return c.ranked[:min(c.rank, c.settings.Watchers)]
	}
	self := c.ranked[c.rank]
	before := slices.IndexFunc(c.remoteWatchers, func(m Member) bool { return compareRank(m, self) > 0 })
	if before < 0 {
		before = len(c.remoteWatchers)
	}
	return c.remoteWatchers[:before]
}

// Upstream returns the upstream watcher that reads the full state before this one; false if
// this process has to read it from the service.
func (c *Chooser) Upstream(now time.Time) (Member, bool) {
	if !c.IsWatcher() {
		return Member{}, false
	}
	for _, peer := range c.upstreams() {
		if !c.query(now, peer).NotBefore.After(now) {
			return peer, true
		}
	}
	return Member{}, false
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// UsesWatchers reports whether watchers poll the service for the zone, which is so where that
// costs fewer calls than every member polling for itself.
func (c *Chooser) UsesWatchers() bool {
	direct := float64(len(c.ranked)) / c.settings.LongWait.Seconds()
	return c.rank >= 0 && direct > float64(c.settings.Watchers)/c.settings.ShortWait.Seconds()
}

// ServesPeers reports whether other members may query this process: any process in a zone without
// watchers, else only watchers and standbys.
func (c *Chooser) ServesPeers() bool {
	return !c.UsesWatchers() || c.rank < c.settings.Watchers+c.settings.Standbys
}

// IsWatcher reports whether this process polls the service for the zone.
func (c *Chooser) IsWatcher() bool { return c.UsesWatchers() && c.rank < c.settings.Watchers }

// IsFollower reports whether watchers poll the service for this process.
func (c *Chooser) IsFollower() bool { return c.UsesWatchers() && c.rank >= c.settings.Watchers }

// Next returns the next query for changes.
func (c *Chooser) Next(now time.Time) Query { return c.earliest(now, c.changesOrder()) }

// NextFullRead returns the next query for the full state. Watchers query their upstreams before
// the service, and the service for changes afterwards.
func (c *Chooser) NextFullRead(now time.Time) Query { return c.earliest(now, c.fullReadOrder()) }

// earliest returns the query to the first of peers that may be queried now, else to the one
// that may be queried soonest.
func (c *Chooser) earliest(now time.Time, peers []Member) Query {
	var best Query
	for i, peer := range peers {
		query := c.query(now, peer)
		if !query.NotBefore.After(now) {
			return query
		}
		if i == 0 || query.NotBefore.Before(best.NotBefore) {
			best = query
		}
	}
	return best
}

// fullReadOrder lists the sources of the full state, the service last.
func (c *Chooser) fullReadOrder() []Member {
	if c.IsWatcher() {
		return append(slices.Clone(c.upstreams()), Member{})
	}
	return c.changesOrder()
}

// changesOrder lists the sources of changes, preferred first; the zero Member is the service.
func (c *Chooser) changesOrder() []Member {
	service := Member{}
	if !c.UsesWatchers() {
		return []Member{service}
	}
	watchers := c.ranked[:min(c.settings.Watchers, len(c.ranked))]
	if c.rank < len(watchers) {
		others := slices.DeleteFunc(slices.Clone(watchers), func(m Member) bool { return m.ID == c.settings.Self })
		return append([]Member{service}, others...)
	}
	// Followers are spread over the watchers by rank.
	order := c.rotate(watchers)
	if standbys := c.ranked[len(watchers):min(len(watchers)+c.settings.Standbys, len(c.ranked))]; !c.ServesPeers() {
		order = append(order, c.rotate(standbys)...)
	}
	return append(order, service)
}

// rotate returns members rotated by the rank of this process.
func (c *Chooser) rotate(members []Member) []Member {
	if len(members) == 0 {
		return nil
	}
	first := c.rank % len(members)
	return append(slices.Clone(members[first:]), members[:first]...)
}

func (c *Chooser) query(now time.Time, peer Member) Query {
	query := Query{Peer: peer, NotBefore: now}
	state := c.sources[peer.ID]
	if state != nil && state.notBefore.After(now) {
		query.NotBefore = state.notBefore
	}
	if paused := c.lastPage.Add(c.pagePause()); query.ToService() && paused.After(query.NotBefore) {
		query.NotBefore = paused
	}
	if earliest := c.serviceNotBefore(); query.ToService() && earliest.After(query.NotBefore) {
		query.NotBefore = earliest
	}
	switch {
	case query.ToService() && c.UsesWatchers():
		query.Wait = c.settings.ShortWait
	case query.ToService():
		query.Wait = c.settings.LongWait
	case state != nil && state.failures == 0 && c.lastSource == peer.ID:
		query.Wait = c.settings.MaxStaleness
	}
	return query
}

// serviceNotBefore returns the earliest time at which this process may query the service
// while its watchers and standbys have lost contact; zero: immediately.
func (c *Chooser) serviceNotBefore() time.Time {
	switch {
	case c.staleSince.IsZero() || c.IsWatcher() || !c.UsesWatchers():
		return time.Time{}
	case c.lastAnswer.IsZero():
		return c.staleSince.Add(c.settings.StartupWait)
	case c.ServesPeers():
		return time.Time{}
	}
	return c.lastAnswer.Add(c.settings.FallbackDelay)
}

// RecordOutcome records the outcome of a query.
func (c *Chooser) RecordOutcome(now time.Time, query Query, outcome Outcome) {
	state := c.sources[query.Peer.ID]
	if state == nil {
		state = &sourceState{}
		c.sources[query.Peer.ID] = state
	}
	if outcome == Answered {
		*state = sourceState{}
		c.lastSource, c.lastAnswer, c.staleSince, c.lastPage = query.Peer.ID, now, time.Time{}, time.Time{}
		return
	}
	if outcome == Loading { // the peer has held the query, so that it may be repeated immediately
		*state = sourceState{}
		c.staleSince = now
		return
	}
	if outcome == Stale && c.staleSince.IsZero() {
		c.staleSince = now
	}
	state.failures++
	state.notBefore = now.Add(c.backoff(query, outcome, state.failures))
}

func (c *Chooser) backoff(query Query, outcome Outcome, failures int) time.Duration {
	switch {
	case query.ToService() && !c.ServesPeers():
		return followerServiceBackoff
	case query.ToService():
		return min(minServiceBackoff<<min(failures-1, maxDoublings), maxServiceBackoff)
	case outcome == Stale:
		return staleBackoff
	case c.ServesPeers(): // others rely on a standby, so it must not block on lost watchers often
		return unreachableBackoff << min(failures-1, maxDoublings/2)
	}
	return unreachableBackoff
}
