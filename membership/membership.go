// Package membership implements SWIM-style cluster membership and failure
// detection.
//
// Within a zone every member tracks every other. Once per interval a member
// probes the next peer of a shuffled ring. A failed probe is repeated indirectly
// through other members before the peer is marked suspect, and a suspect is
// declared dead unless it refutes with a higher incarnation before the suspicion
// times out. Changes are piggybacked on heartbeats up to a byte limit. Across
// zones, nodes hold only a ZoneSummary per zone, exchanged by a few
// representatives of each zone. Nodes that are not members (sidecars) poll one
// member for changes.
//
// A Machine does no I/O. The caller carries out each Send as one HTTP exchange:
// it steps the peer's machine with the request and returns its Reply, then steps the
// sender with the reply, or with Unreachable if none arrived.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Settings configures a Machine. Zero values of optional fields select the defaults.
type Settings struct {
	Self           api.Node
	Seeds          []string      // addresses contacted while no peer is known
	Interval       time.Duration // between heartbeats
	SuspectTimeout time.Duration // from suspect to dead, before scaling with the zone's size
	Random         *rand.Rand

	MaxUpdateBytes int // optional: limit on the JSON size of a heartbeat's updates
	IndirectProbes int // optional: peers asked to probe before a peer is suspected
	SyncTicks      int // optional: ticks between anti-entropy exchanges
	ZoneTicks      int // optional: ticks between a representative's exchanges with other zones
	PublishTicks   int // optional: ticks between publications of the zone's summary
	MaxGateways    int // optional: routers advertised to other zones
	ObserveTicks   int // optional: ticks between an observer's polls

	Fault Fault // injected by tests
}

// Fault selects an injected defect, with which tests verify that their checks can fail.
type Fault string

// Injectable faults.
const (
	FaultNone              Fault = ""
	FaultNoRefutation      Fault = "no-refutation"
	FaultIgnoreIncarnation Fault = "ignore-incarnation"
	FaultResurrectDead     Fault = "resurrect-dead-record"
	FaultSkipIndirect      Fault = "skip-indirect-check"
)

const (
	defaultMaxUpdateBytes = 2000
	defaultIndirectProbes = 3
	defaultSyncTicks      = 5
	defaultZoneTicks      = 4
	defaultPublishTicks   = 10
	defaultMaxGateways    = 8
	defaultObserveTicks   = 2
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.MaxUpdateBytes, defaultMaxUpdateBytes)
	setDefault(&s.IndirectProbes, defaultIndirectProbes)
	setDefault(&s.SyncTicks, defaultSyncTicks)
	setDefault(&s.ZoneTicks, defaultZoneTicks)
	setDefault(&s.PublishTicks, defaultPublishTicks)
	setDefault(&s.MaxGateways, defaultMaxGateways)
	setDefault(&s.ObserveTicks, defaultObserveTicks)
	return s
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// Machine is the membership state machine of one node. It is not safe for
// concurrent use.
type Machine struct {
	settings    Settings
	observer    bool // polls a member instead of being one
	self        api.Node
	entries     map[api.NodeID]*entry // by id; of the node's own zone, or for an observer of its source's zone
	zones       map[api.Location]*zoneEntry
	queue       *updateQueue
	changeIndex uint64 // incremented on each change; observers' cursors refer to it
	urgentIndex uint64 // changeIndex of the node's own last urgent change
	ticks       int
	lastTick    time.Time

	probeRing        []api.NodeID // members not yet probed in this round
	indirectProbes   map[api.NodeID]*indirectProbe
	unackedLeaves    map[api.NodeID]bool // peers that have not acknowledged the leaving mark
	lastPush         time.Time           // when the zone's summary was last pushed to all zones
	pushPending      bool                // a push is deferred by minPushTicks
	joined           bool                // a member has sent its full view
	duplicateAddress string              // address of another process seen once with this node's id

	source Contact // observer: the member that it polls
	// sourceIsSeed: the source was chosen from the seeds, before any member was known.
	sourceIsSeed bool
	cursor       ObserveRequest
	location     api.Location // zone that the entries belong to
}

type entry struct {
	record      Record
	statusSince time.Time // when the status last changed
	changeIndex uint64    // Machine.changeIndex of the last change
	urgentIndex uint64    // Machine.changeIndex of the last change beyond the load summary
	changed     time.Time // when the record last changed
	refused     bool      // suspect whose host refused the connection
}

// NewMachine returns a Machine whose view holds only the node itself. A sidecar is
// an observer; any other role is a member of its zone.
func NewMachine(settings Settings) *Machine {
	settings = settings.withDefaults()
	return &Machine{
		settings: settings, observer: settings.Self.Role == api.RoleSidecar, self: settings.Self,
		entries: map[api.NodeID]*entry{}, zones: map[api.Location]*zoneEntry{},
		queue: newUpdateQueue(), indirectProbes: map[api.NodeID]*indirectProbe{},
		unackedLeaves: map[api.NodeID]bool{}, location: settings.Self.Location,
	}
}

// Step processes one message and returns the actions to carry out, in order.
func (m *Machine) Step(now time.Time, message Message) []Action {
	switch message := message.(type) {
	case Tick:
		return m.tick(now)
	case RequestReceived:
		return m.handleIncoming(now, message.Exchange)
	case ReplyReceived:
		return m.handleReply(now, message)
	case Unreachable:
		return m.handleUnreachable(now, message)
	case SelfChanged:
		return m.changeSelf(now, message)
	case Stopped:
		return m.stop()
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Action {
	m.ticks++
	m.restartSuspicionsAfterPause(now)
	if m.observer {
		return m.observeSource()
	}
	actions := m.expire(now)
	if m.ticks == settleTicks {
		actions = append(actions, ViewChanged{})
	}
	actions = append(actions, m.probeNext()...)
	actions = append(actions, m.runAntiEntropy()...)
	return append(actions, m.representZone(now)...)
}

func (m *Machine) handleIncoming(now time.Time, exchange Exchange) []Action {
	if m.observer {
		// An observer has no first-hand state, so its reply must not look like a member's.
		return []Action{Reply{Exchange: Exchange{From: m.self.ID, Location: m.self.Location}}}
	}
	actions := append(m.merge(now, exchange), m.mergeZones(now, exchange.Zones)...)
	reply := m.exchange(exchange.From)
	if exchange.Location != m.self.Location {
		reply.Updates = nil
	}
	if exchange.Reached != "" {
		delete(m.indirectProbes, exchange.Reached)
	}
	if exchange.Probe != nil {
		actions = append(actions, m.probeOnBehalf(exchange)...)
	}
	m.answerDigest(&reply, exchange)
	reply.Zones = m.newerZones(exchange)
	if exchange.Observe != nil {
		m.answerObserve(&reply, *exchange.Observe)
	}
	return append(actions, Reply{Exchange: reply})
}

func (m *Machine) handleReply(now time.Time, message ReplyReceived) []Action {
	if m.observer {
		return m.handleObserveReply(now, message)
	}
	delete(m.indirectProbes, message.Sent.Peer)
	delete(m.unackedLeaves, message.Sent.Peer)
	before := m.self.Incarnation
	actions := append(m.merge(now, message.Exchange), m.mergeZones(now, message.Exchange.Zones)...)
	if _, known := m.entries[message.Sent.Peer]; known && m.self.Incarnation != before {
		// The peer held this node as suspect or dead and has not seen the refutation yet.
		actions = append(actions, m.send(message.Sent.Peer, PurposePush, m.exchange(message.Sent.Peer)))
	}
	actions = append(actions, m.announceJoin(message.Exchange)...)
	if message.Sent.Purpose == PurposeProbeOnBehalf {
		result := Exchange{From: m.self.ID, Location: m.self.Location, Reached: message.Sent.Peer}
		actions = append(actions, Send{
			Address: message.Sent.Origin.Address, Peer: message.Sent.Origin.ID,
			Purpose: PurposeResult, Exchange: result,
		})
	}
	return actions
}

// settleTicks is the number of ticks without contact after which a node assumes
// that it is the first of its zone.
const settleTicks = 10

// Settled reports whether the node has received a member's view or waited long
// enough to be the first of its zone. Until then callers must not act on the view,
// in which the node would be home of every worker.
func (m *Machine) Settled() bool {
	others := slices.ContainsFunc(m.settings.Seeds, func(seed string) bool { return seed != m.self.Address })
	return m.joined || !others || m.ticks >= settleTicks
}

// announceJoin announces a node that has just joined to a few members, which gossip
// it on; announcing it to all would cost O(n²) exchanges when a zone starts at once.
// A router is announced to all routers, so that workers that move to it have two
// homes only briefly.
func (m *Machine) announceJoin(exchange Exchange) []Action {
	if m.joined || !exchange.Full || exchange.Location != m.self.Location {
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

// exchange builds a heartbeat or its reply: the node's own record, what the receiver
// may have to refute, and as many pending updates as fit.
func (m *Machine) exchange(to api.NodeID) Exchange {
	exchange := Exchange{From: m.self.ID, Location: m.self.Location}
	exchange.Updates = append(exchange.Updates, m.selfRecord())
	if known, ok := m.entries[to]; ok && known.record.Status != StatusAlive {
		exchange.Updates = append(exchange.Updates, wireRecord(known.record))
	}
	exchange.Updates = append(exchange.Updates, m.queue.take(to, m.entries, m.settings.MaxUpdateBytes)...)
	return exchange
}

func (m *Machine) selfRecord() Record { return Record{Node: withoutLocation(m.self)} }

func withoutLocation(node api.Node) api.Node {
	node.Location = api.Location{}
	return node
}
