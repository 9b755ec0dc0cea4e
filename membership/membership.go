// Package membership keeps a node's view of the other processes.
//
// Within a zone every member knows every other: one heartbeat an interval goes
// to the next of a shuffled ring, a missing answer is checked through other
// members before the peer is suspected, and a suspected peer has a while to
// refute with a higher incarnation. Changes ride on the heartbeats in a bounded
// number of bytes. Of the other zones a node knows only a ZoneSummary, which a
// few representatives of each zone exchange. Nodes that are not members
// (sidecars) ask one member for what has changed.
//
// The shell carries each Send as one HTTP exchange: the peer's machine is
// stepped with Incoming and answers with Reply; the sender is stepped with
// Answered, or with Unreachable when there was none.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings of a Machine. Zero values of the optional ones take the defaults.
type Settings struct {
	Self           api.Node
	Seeds          []string      // addresses asked while no peer is known
	Interval       time.Duration // between heartbeats
	SuspectTimeout time.Duration // from suspicion to death, before scaling with the zone
	Random         *rand.Rand

	MaximumBytes   int // optional: JSON of the updates on a heartbeat
	IndirectProbes int // optional: peers asked before a suspicion
	SyncTicks      int // optional: ticks between anti-entropy exchanges
	ZoneTicks      int // optional: ticks between exchanges of a representative with other zones
	PublishTicks   int // optional: ticks between versions of the zone's summary
	Gateways       int // optional: routers named to other zones
	ObserveTicks   int // optional: ticks between an observer's questions

	Fault Fault // planted in tests
}

// Fault is a planted defect; tests show with it that their checks can fail.
type Fault string

// The planted faults.
const (
	FaultNone              Fault = ""
	FaultNoRefutation      Fault = "no-refutation"
	FaultIgnoreIncarnation Fault = "ignore-incarnation"
	FaultResurrectDead     Fault = "resurrect-dead-record"
	FaultSkipIndirect      Fault = "skip-indirect-check"
)

const (
	defaultMaximumBytes   = 2000
	defaultIndirectProbes = 3
	defaultSyncTicks      = 5
	defaultZoneTicks      = 4
	defaultPublishTicks   = 10
	defaultGateways       = 8
	defaultObserveTicks   = 2
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaximumBytes, defaultMaximumBytes)
	setDefault(&s.IndirectProbes, defaultIndirectProbes)
	setDefault(&s.SyncTicks, defaultSyncTicks)
	setDefault(&s.ZoneTicks, defaultZoneTicks)
	setDefault(&s.PublishTicks, defaultPublishTicks)
	setDefault(&s.Gateways, defaultGateways)
	setDefault(&s.ObserveTicks, defaultObserveTicks)
	return s
}

func setDefault(value *int, standard int) {
	if *value == 0 {
		*value = standard
	}
}

// Machine is the membership state machine of one node.
type Machine struct {
	settings Settings
	observer bool // asks a member instead of being one
	self     api.Node
	entries  map[api.NodeID]*entry // of the own zone; an observer's: of its source's zone
	zones    map[api.Location]*zoneEntry
	queue    *updateQueue
	stamp    uint64 // grows with each change, for observers' cursors
	urgent   uint64 // stamp of the node's own last urgent change
	ticks    int
	lastTick time.Time

	ring     []api.NodeID // members still to be probed in this round
	indirect map[api.NodeID]*indirectCheck
	leaving  map[api.NodeID]bool // peers that have not confirmed the leaving mark yet
	lastPush time.Time           // of the zone's summary to all zones
	pushDue  bool                // such a push waits
	joined   bool                // a member has told this node of the others
	rival    string              // address seen once under the own id

	source Contact // observer: whom it asks
	// sourceIsSeed: the source was drawn without knowing a member.
	sourceIsSeed bool
	cursor       Observe
	location     api.Location // of entries
}

type entry struct {
	record  Record
	since   time.Time // when the status began
	stamp   uint64    // of the last change
	urgent  uint64    // of the last change that was more than a load
	changed time.Time // when the record last changed
	refused bool      // a suspect whose process does not listen
}

// NewMachine starts with a view that holds only the node itself. A sidecar is
// an observer, every other role a member of its zone.
func NewMachine(settings Settings) *Machine {
	settings = settings.withDefaults()
	return &Machine{
		settings: settings, observer: settings.Self.Role == api.RoleSidecar, self: settings.Self,
		entries: map[api.NodeID]*entry{}, zones: map[api.Location]*zoneEntry{},
		queue: newUpdateQueue(), indirect: map[api.NodeID]*indirectCheck{},
		leaving: map[api.NodeID]bool{}, location: settings.Self.Location,
	}
}

// Step takes one message.
func (m *Machine) Step(now time.Time, message Message) []Action {
	switch message := message.(type) {
	case Tick:
		return m.tick(now)
	case Incoming:
		return m.receive(now, message.Exchange)
	case Answered:
		return m.answered(now, message)
	case Unreachable:
		return m.unreachable(now, message)
	case SelfChanged:
		return m.changeSelf(now, message)
	case Stopped:
		return m.stop()
	}
	return nil
}

// tick does one interval's work.
func (m *Machine) tick(now time.Time) []Action {
	m.ticks++
	m.forgivePause(now)
	if m.observer {
		return m.observe()
	}
	actions := m.expire(now)
	if m.ticks == settleTicks {
		actions = append(actions, ViewChanged{})
	}
	actions = append(actions, m.probeNext()...)
	actions = append(actions, m.synchronise()...)
	return append(actions, m.representZone(now)...)
}

// receive answers a peer's exchange.
func (m *Machine) receive(now time.Time, exchange Exchange) []Action {
	if m.observer {
		// It knows nothing at first hand: an asker must not take it for a member.
		return []Action{Reply{Exchange: Exchange{From: m.self.ID, Location: m.self.Location}}}
	}
	actions := append(m.merge(now, exchange), m.mergeZones(now, exchange.Zones)...)
	reply := m.exchange(exchange.From)
	if exchange.Location != m.self.Location {
		reply.Updates = nil
	}
	if exchange.Reached != "" {
		delete(m.indirect, exchange.Reached)
	}
	if exchange.Probe != nil {
		actions = append(actions, m.probeFor(exchange)...)
	}
	m.answerDigest(&reply, exchange)
	reply.Zones = m.newerZones(exchange)
	if exchange.Observe != nil {
		m.answerObserve(&reply, *exchange.Observe)
	}
	return append(actions, Reply{Exchange: reply})
}

// answered takes the answer to a Send.
func (m *Machine) answered(now time.Time, message Answered) []Action {
	if m.observer {
		return m.observed(now, message)
	}
	delete(m.indirect, message.Sent.Peer)
	delete(m.leaving, message.Sent.Peer)
	before := m.self.Incarnation
	actions := append(m.merge(now, message.Exchange), m.mergeZones(now, message.Exchange.Zones)...)
	if _, known := m.entries[message.Sent.Peer]; known && m.self.Incarnation != before {
		// The peer took this node for gone and has not heard the refutation.
		actions = append(actions, m.send(message.Sent.Peer, PurposePush, m.exchange(message.Sent.Peer)))
	}
	actions = append(actions, m.introduce(message.Exchange)...)
	if message.Sent.Purpose == PurposeProbeForOther {
		result := Exchange{From: m.self.ID, Location: m.self.Location, Reached: message.Sent.Peer}
		actions = append(actions, Send{
			Address: message.Sent.Origin.Address, Peer: message.Sent.Origin.ID,
			Purpose: PurposeResult, Exchange: result,
		})
	}
	return actions
}

// settleTicks is after how many ticks without an answer a node takes itself for
// the first of its zone.
const settleTicks = 10

// Settled tells whether the view is more than the node itself, or the node has
// waited long enough to be the first. Before, it must not act on what it alone
// knows: it would take itself for home of every worker.
func (m *Machine) Settled() bool {
	others := slices.ContainsFunc(m.settings.Seeds, func(seed string) bool { return seed != m.self.Address })
	return m.joined || !others || m.ticks >= settleTicks
}

// introduce makes a node that has just joined known: to some members, which pass it on
// with their heartbeats. A router tells all routers at once, so that the workers it
// becomes home of have two homes only briefly. Telling every member cost a zone of
// hundreds that started together the square of its size in exchanges.
func (m *Machine) introduce(exchange Exchange) []Action {
	if m.joined || !exchange.Whole || exchange.Location != m.self.Location {
		return nil
	}
	m.joined = true
	if m.self.Role != api.RoleRouter {
		return m.push(m.settings.IndirectProbes)
	}
	var actions []Action
	for _, id := range m.randomMembers(math.MaxInt, "") {
		if m.entries[id].record.Node.Role == api.RoleRouter {
			actions = append(actions, m.send(id, PurposePush, m.exchange(id)))
		}
	}
	return actions
}

// exchange is a heartbeat or its answer with what fits of the changes.
func (m *Machine) exchange(to api.NodeID) Exchange {
	exchange := Exchange{From: m.self.ID, Location: m.self.Location}
	exchange.Updates = append(exchange.Updates, m.selfRecord())
	if known, ok := m.entries[to]; ok && known.record.Status != StatusAlive {
		exchange.Updates = append(exchange.Updates, wireRecord(known.record))
	}
	exchange.Updates = append(exchange.Updates, m.queue.take(to, m.entries, m.settings.MaximumBytes)...)
	return exchange
}

func (m *Machine) selfRecord() Record { return Record{Node: withoutLocation(m.self)} }

func withoutLocation(node api.Node) api.Node {
	node.Location = api.Location{}
	return node
}
