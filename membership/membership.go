// Package membership keeps a node's view of the other processes.
//
// The shell carries each Send as one HTTP exchange: the peer's machine is
// stepped with Incoming and answers with Reply; the sender is stepped with
// Answered, or with Unreachable when there was none.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Status is what the view holds of a node.
type Status string

// The statuses. Suspect nodes still count as live until the suspicion ends.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
)

// Record is one node in the view; it is also what travels.
type Record struct {
	Node   api.Node `json:"node"`
	Status Status   `json:"status"`
}

// Exchange is the body of a heartbeat and of its answer.
type Exchange struct {
	From    api.NodeID `json:"from"`
	Records []Record   `json:"records"`
}

// Settings of a Machine.
type Settings struct {
	Self           api.Node
	Seeds          []string      // addresses asked while no peer is known
	Interval       time.Duration // between heartbeats
	SuspectTimeout time.Duration // from suspicion to death
	Random         *rand.Rand
}

// Message is what a Machine is stepped with.
type Message interface{ membershipMessage() }

// Tick drives heartbeats; the shell sends it every Settings.Interval.
type Tick struct{}

// Incoming is a heartbeat from a peer; the machine answers with Reply.
type Incoming struct{ Exchange Exchange }

// Answered is the answer to a Send.
type Answered struct {
	Address  string
	Exchange Exchange
}

// Unreachable says that a Send had no answer.
type Unreachable struct{ Address string }

// SelfChanged replaces what the node says of itself: summary, table revision,
// leaving. The machine keeps the incarnation.
type SelfChanged struct {
	Leaving       bool
	TableRevision int64
	Summary       api.Summary
}

func (Tick) membershipMessage()        {}
func (Incoming) membershipMessage()    {}
func (Answered) membershipMessage()    {}
func (Unreachable) membershipMessage() {}
func (SelfChanged) membershipMessage() {}

// Action is what a Machine asks for.
type Action interface{ membershipAction() }

// Send asks for one exchange with the process at Address.
type Send struct {
	Address  string
	Exchange Exchange
}

// Reply answers the Incoming of this step.
type Reply struct{ Exchange Exchange }

// ViewChanged says that Nodes has changed.
type ViewChanged struct{}

func (Send) membershipAction()        {}
func (Reply) membershipAction()       {}
func (ViewChanged) membershipAction() {}

type entry struct {
	record    Record
	suspected time.Time // when StatusSuspect began
}

// Machine is the membership state machine of one node.
type Machine struct {
	settings Settings
	self     api.Node
	entries  map[api.NodeID]*entry
}

// NewMachine starts with a view that holds only the node itself.
func NewMachine(settings Settings) *Machine {
	return &Machine{settings: settings, self: settings.Self, entries: map[api.NodeID]*entry{}}
}

// Nodes lists the live nodes, the node itself among them, sorted by id.
func (m *Machine) Nodes() []api.Node {
	nodes := []api.Node{m.self}
	for _, e := range m.entries {
		if e.record.Status != StatusDead {
			nodes = append(nodes, e.record.Node)
		}
	}
	slices.SortFunc(nodes, func(a, b api.Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// Step takes one message.
func (m *Machine) Step(now time.Time, message Message) []Action {
	switch message := message.(type) {
	case Tick:
		return m.tick(now)
	case Incoming:
		actions := m.merge(now, message.Exchange)
		return append(actions, Reply{Exchange: m.exchange()})
	case Answered:
		return m.merge(now, message.Exchange)
	case Unreachable:
		return m.suspect(now, message.Address)
	case SelfChanged:
		m.self.Leaving = message.Leaving
		m.self.TableRevision = message.TableRevision
		m.self.Summary = message.Summary
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	var peers []string
	for _, e := range m.entries {
		if e.record.Status == StatusSuspect && now.Sub(e.suspected) > m.settings.SuspectTimeout {
			e.record.Status = StatusDead
			actions = append(actions, ViewChanged{})
		}
		if e.record.Status != StatusDead {
			peers = append(peers, e.record.Node.Address)
		}
	}
	if len(peers) == 0 {
		peers = m.settings.Seeds
	}
	slices.Sort(peers)
	if len(peers) == 0 {
		return actions
	}
	address := peers[m.settings.Random.IntN(len(peers))]
	return append(actions, Send{Address: address, Exchange: m.exchange()})
}

func (m *Machine) exchange() Exchange {
	exchange := Exchange{From: m.self.ID, Records: []Record{{Node: m.self, Status: StatusAlive}}}
	for _, e := range m.entries {
		exchange.Records = append(exchange.Records, e.record)
	}
	slices.SortFunc(exchange.Records[1:], func(a, b Record) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return exchange
}

func (m *Machine) merge(now time.Time, exchange Exchange) []Action {
	changed := false
	for _, record := range exchange.Records {
		if record.Node.ID == m.self.ID {
			m.refute(record)
			continue
		}
		known, ok := m.entries[record.Node.ID]
		if ok && !supersedes(record, known.record) {
			continue
		}
		m.entries[record.Node.ID] = &entry{record: record, suspected: now}
		changed = true
	}
	if changed {
		return []Action{ViewChanged{}}
	}
	return nil
}

// refute answers a rumour of the node's own death with a higher incarnation.
func (m *Machine) refute(record Record) {
	if record.Status != StatusAlive && record.Node.Incarnation >= m.self.Incarnation {
		m.self.Incarnation = record.Node.Incarnation + 1
	}
}

// supersedes orders records of one node: incarnation, then the graver status,
// then the newer summary.
func supersedes(a, b Record) bool {
	return cmp.Or(
		cmp.Compare(a.Node.Incarnation, b.Node.Incarnation),
		cmp.Compare(gravity(a.Status), gravity(b.Status)),
		cmp.Compare(a.Node.Summary.Sequence, b.Node.Summary.Sequence),
	) > 0
}

func gravity(status Status) int {
	return map[Status]int{StatusAlive: 0, StatusSuspect: 1, StatusDead: 2}[status]
}

func (m *Machine) suspect(now time.Time, address string) []Action {
	for _, e := range m.entries {
		if e.record.Node.Address == address && e.record.Status == StatusAlive {
			e.record.Status = StatusSuspect
			e.suspected = now
			return []Action{ViewChanged{}}
		}
	}
	return nil
}
