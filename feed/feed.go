// Package feed decides where a process learns the changes of a key-value service.
// On a small fleet every process asks the service. Where that would cost more calls
// a few watchers of each zone ask it, often, and the others of the zone ask these;
// whoever finds that its watchers don't answer, or have no contact with the service,
// asks another watcher and then the service.
//
// A Chooser is a pure machine: it has no input or output and no clock.
package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Member is a process of the own zone.
type Member struct {
	ID      api.NodeID
	Address string // of its internal protocol, host:port
	// Strong: it has room to serve others; such members are watchers first.
	Strong bool
}

// Settings of a Chooser.
type Settings struct {
	Self     api.NodeID
	Watchers int // of a zone
	// Deputies are the members after the watchers that ask the service as soon as these
	// have no contact, and that the others ask before it.
	Deputies int
	// LongWait is how long a question to the service waits for changes where the
	// process asks for itself, ShortWait where it may ask for others.
	LongWait  time.Duration
	ShortWait time.Duration
	// Fresh is how long a watcher may be without an answer of the service before
	// others stop to rely on it.
	Fresh time.Duration
	// Start is how long a process that has never known anything waits for watchers that
	// know nothing yet.
	Start time.Duration
	// Alone is how long after its last word a process that is neither watcher nor deputy
	// asks the service itself, where these answer that they have no contact.
	Alone time.Duration
}

// The parts of the time within which a change has to be known everywhere. A watcher
// that is lost without a word is noticed within Fresh, and a second one and the
// service are asked in what is left.
const (
	shortWaitShare = 0.3
	gatherShare    = 0.12
	freshShare     = 0.5
	// aloneShare leaves enough to read the whole state. Without it hundreds of processes
	// asked a service that told its watchers nothing for seconds, and read all pages of the
	// state when it had forgotten its history: tens of thousands of calls in its worst
	// moment.
	aloneShare = 0.6
	// startShare is for how long a process that has never known anything leaves the
	// service to watchers that answer and know nothing yet either: they have started
	// with it, and ask at once. A fleet that starts costs the calls of its watchers.
	startShare = 0.3
)

// watchersOfAZone is two: one that is lost leaves the other, which is in contact
// already.
const watchersOfAZone = 2

// deputiesOfAZone take the watchers' place where the service serves others and not them.
const deputiesOfAZone = 2

// Within gives settings for a fleet where a change has to be known within a time.
// longWait is how long a process that asks for itself may wait.
func Within(self api.NodeID, apply, longWait time.Duration) Settings {
	part := func(share float64) time.Duration { return time.Duration(share * float64(apply)) }
	return Settings{Self: self, Watchers: watchersOfAZone, Deputies: deputiesOfAZone, LongWait: longWait, ShortWait: part(shortWaitShare), Fresh: part(freshShare), Start: part(startShare), Alone: part(aloneShare)}
}

// GatherPause is how long a watcher may let changes gather before it asks for more.
func (s Settings) GatherPause() time.Duration {
	return time.Duration(gatherShare / shortWaitShare * float64(s.ShortWait))
}

// Question is what is to be asked next.
type Question struct {
	Peer Member // zero: the service itself
	// Wait is how long the answer may take while there is no change; 0: it comes at
	// once.
	Wait time.Duration
	// NotBefore is when to ask.
	NotBefore time.Time
}

// OfService tells whether the service itself is to be asked.
func (q Question) OfService() bool { return q.Peer.ID == "" }

// Outcome is how a question ended.
type Outcome int

// The outcomes.
const (
	Answered    Outcome = iota
	Behind              // the peer has no contact with the service
	Unreachable         // no answer
)

// Pauses before a source that has failed is asked again. Those of a peer are longer
// than a round trip by far and shorter than what changes may take; a process that
// asks for itself only since its watchers fail leaves a service that fails to them.
const (
	behindPause       = 300 * time.Millisecond
	unreachablePause  = time.Second
	firstServicePause = 50 * time.Millisecond
	lastServicePause  = 500 * time.Millisecond
	followerPause     = 2 * time.Second
	mostDoublings     = 4
)

// Chooser is the machine of one process. Make it with New.
type Chooser struct {
	settings Settings
	ranked   []Member // of the zone, watchers first
	rank     int      // of this process
	abroad   []Member // the first watcher of each other zone
	sources  map[api.NodeID]*source
	source   api.NodeID // who answered last
	answered time.Time  // when somebody answered last; zero: nothing is known
	behindAt time.Time  // when a peer first had no contact since then; zero: none says so
}

// source is what is known of a peer, or under the empty id of the service.
type source struct {
	failures  int // in a row
	notBefore time.Time
}

// New gives a chooser that knows of no other process.
func New(settings Settings) *Chooser {
	return &Chooser{settings: settings, sources: map[api.NodeID]*source{}}
}

// Members takes the processes of the zone that can be asked, this one among them.
func (c *Chooser) Members(members []Member) {
	c.ranked = slices.Clone(members)
	slices.SortFunc(c.ranked, compareRank)
	c.rank = slices.IndexFunc(c.ranked, func(m Member) bool { return m.ID == c.settings.Self })
	known := map[api.NodeID]bool{"": true}
	for _, member := range members {
		known[member.ID] = true
	}
	for _, member := range c.abroad {
		known[member.ID] = true
	}
	for id := range c.sources {
		if !known[id] {
			delete(c.sources, id)
		}
	}
}

// compareRank puts the members that are to watch first.
func compareRank(a, b Member) int {
	return cmp.Or(-compareBool(a.Strong, b.Strong), cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
}

// Abroad takes the members of other zones that are known, by zone.
func (c *Chooser) Abroad(zones [][]Member) {
	c.abroad = c.abroad[:0]
	for _, members := range zones {
		if len(members) > 0 {
			c.abroad = append(c.abroad, slices.MinFunc(members, compareRank))
		}
	}
	slices.SortFunc(c.abroad, compareRank)
}

// tellers are the watchers that tell this one the whole state, the first choice first. All
// watchers of a fleet stand in one order, and each is told by one before it, so that a
// state of thousands of pages is read from the service once and not once a watcher.
func (c *Chooser) tellers() []Member {
	if c.rank > 0 {
		return c.ranked[:min(c.rank, c.settings.Watchers)]
	}
	self := c.ranked[c.rank]
	before := slices.IndexFunc(c.abroad, func(m Member) bool { return compareRank(m, self) > 0 })
	if before < 0 {
		before = len(c.abroad)
	}
	return c.abroad[:before]
}

// Teller is the watcher that will know the whole state before this one does; false where
// this one reads it from the service.
func (c *Chooser) Teller(now time.Time) (Member, bool) {
	if !c.Watching() {
		return Member{}, false
	}
	for _, peer := range c.tellers() {
		if !c.question(now, peer).NotBefore.After(now) {
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

// Shared tells whether watchers ask for the others: where these cost fewer calls
// than all of the zone would.
func (c *Chooser) Shared() bool {
	alone := float64(len(c.ranked)) / c.settings.LongWait.Seconds()
	return c.rank >= 0 && alone > float64(c.settings.Watchers)/c.settings.ShortWait.Seconds()
}

// Keeps tells whether others may ask this process: where all ask the service for
// themselves any, else watchers and their deputies.
func (c *Chooser) Keeps() bool {
	return !c.Shared() || c.rank < c.settings.Watchers+c.settings.Deputies
}

// Watching tells whether this process asks the service for others.
func (c *Chooser) Watching() bool { return c.Shared() && c.rank < c.settings.Watchers }

// Follows tells whether others of the zone ask the service for this process.
func (c *Chooser) Follows() bool { return c.Shared() && c.rank >= c.settings.Watchers }

// Next gives the next question.
func (c *Chooser) Next(now time.Time) Question { return c.first(now, c.order()) }

// Whole gives whom to ask for the whole state: a watcher before the service. A watcher is
// told by one that stands before it, and then asks the service for the changes since.
func (c *Chooser) Whole(now time.Time) Question { return c.first(now, c.peersFirst()) }

// first is the question to the first of some peers that may be asked now, else to the one
// that may be asked the soonest.
func (c *Chooser) first(now time.Time, peers []Member) Question {
	var best Question
	for i, peer := range peers {
		question := c.question(now, peer)
		if !question.NotBefore.After(now) {
			return question
		}
		if i == 0 || question.NotBefore.Before(best.NotBefore) {
			best = question
		}
	}
	return best
}

// peersFirst are those that tell the whole state, the service last.
func (c *Chooser) peersFirst() []Member {
	if c.Watching() {
		return append(slices.Clone(c.tellers()), Member{})
	}
	return c.order()
}

// order is the peers and the service, the first choice first.
func (c *Chooser) order() []Member {
	service := Member{}
	if !c.Shared() {
		return []Member{service}
	}
	watchers := c.ranked[:min(c.settings.Watchers, len(c.ranked))]
	if c.rank < len(watchers) {
		others := slices.DeleteFunc(slices.Clone(watchers), func(m Member) bool { return m.ID == c.settings.Self })
		return append([]Member{service}, others...)
	}
	// The others of the zone are spread over the watchers by their rank.
	order := c.spread(watchers)
	if deputies := c.ranked[len(watchers):min(len(watchers)+c.settings.Deputies, len(c.ranked))]; !c.Keeps() {
		order = append(order, c.spread(deputies)...)
	}
	return append(order, service)
}

// spread gives members in an order that begins elsewhere for each rank.
func (c *Chooser) spread(members []Member) []Member {
	if len(members) == 0 {
		return nil
	}
	first := c.rank % len(members)
	return append(slices.Clone(members[first:]), members[:first]...)
}

func (c *Chooser) question(now time.Time, peer Member) Question {
	question := Question{Peer: peer, NotBefore: now}
	known := c.sources[peer.ID]
	if known != nil && known.notBefore.After(now) {
		question.NotBefore = known.notBefore
	}
	if alone := c.aloneFrom(); question.OfService() && alone.After(question.NotBefore) {
		question.NotBefore = alone
	}
	switch {
	case question.OfService() && c.Shared():
		question.Wait = c.settings.ShortWait
	case question.OfService():
		question.Wait = c.settings.LongWait
	case known != nil && known.failures == 0 && c.source == peer.ID: // it answered just now
		question.Wait = c.settings.Fresh
	}
	return question
}

// aloneFrom is from when on a process asks the service itself though watchers or deputies
// are there that only have no contact; zero: at once.
func (c *Chooser) aloneFrom() time.Time {
	switch {
	case c.behindAt.IsZero() || c.Watching() || !c.Shared():
		return time.Time{}
	case c.answered.IsZero():
		return c.behindAt.Add(c.settings.Start)
	case c.Keeps():
		return time.Time{}
	}
	return c.answered.Add(c.settings.Alone)
}

// Ended takes how a question ended.
func (c *Chooser) Ended(now time.Time, question Question, outcome Outcome) {
	known := c.sources[question.Peer.ID]
	if known == nil {
		known = &source{}
		c.sources[question.Peer.ID] = known
	}
	if outcome == Answered {
		*known = source{}
		c.source, c.answered, c.behindAt = question.Peer.ID, now, time.Time{}
		return
	}
	if outcome == Behind && c.behindAt.IsZero() {
		c.behindAt = now
	}
	known.failures++
	known.notBefore = now.Add(c.pauseAfter(question, outcome, known.failures))
}

func (c *Chooser) pauseAfter(question Question, outcome Outcome, failures int) time.Duration {
	switch {
	case question.OfService() && !c.Keeps():
		return followerPause
	case question.OfService():
		return min(firstServicePause<<min(failures-1, mostDoublings), lastServicePause)
	case outcome == Behind:
		return behindPause
	case c.Keeps(): // a deputy on whom others rely is not to wait for lost watchers often
		return unreachablePause << min(failures-1, mostDoublings/2)
	}
	return unreachablePause
}
