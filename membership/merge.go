package membership

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// retentionFactor times the suspect timeout is how long a dead record stays, so
// that an older rumour cannot bring it back.
const retentionFactor = 60

// merge takes the updates of a peer of the same zone.
func (m *Machine) merge(now time.Time, exchange Exchange) []Action {
	if exchange.Location != m.self.Location || m.observer {
		return nil
	}
	var actions []Action
	changed := false
	for _, record := range exchange.Updates {
		if record.Status == "" {
			record.Status = StatusAlive
		}
		if record.Node.ID == m.self.ID {
			actions = append(actions, m.refute(record)...)
			continue
		}
		if exchange.Whole && record.Status == StatusDead && record.Node.ID != exchange.From {
			// A whole view may come from the other side of a cut that healed:
			// whom it gave up may refute here.
			if _, known := m.entries[record.Node.ID]; !known {
				continue
			}
			record.Status = StatusSuspect
		}
		more, differs := m.mergeRecord(now, record)
		if exchange.Whole && !m.joined {
			// Its teller has passed it on already; a node that joins has no news but
			// itself.
			m.queue.drop(record.Node.ID)
		}
		actions = append(actions, more...)
		changed = changed || differs
	}
	if changed {
		actions = append(actions, ViewChanged{})
	}
	return actions
}

// mergeRecord orders statuses by incarnation and then gravity, and contents by
// incarnation and then summary sequence.
func (m *Machine) mergeRecord(now time.Time, record Record) ([]Action, bool) {
	record.Node.Location = m.location
	known, ok := m.entries[record.Node.ID]
	if !ok {
		m.set(now, record, true)
		return nil, true
	}
	next := known.record
	if supersedes(record, known.record, m.settings.Fault) {
		next.Status = record.Status
		next.Node.Incarnation = record.Node.Incarnation
	}
	// News of a dead node's load would only spread its death anew, also to those
	// who know that it lives.
	if next.Status != StatusDead && newerContent(record.Node, known.record.Node) {
		incarnation := next.Node.Incarnation
		next.Node = record.Node
		next.Node.Incarnation = incarnation
	}
	if reflect.DeepEqual(next, known.record) {
		return nil, false
	}
	urgent := next.Status != known.record.Status ||
		next.Node.Incarnation != known.record.Node.Incarnation ||
		next.Node.Leaving != known.record.Node.Leaving ||
		next.Node.TableRevision != known.record.Node.TableRevision ||
		!sameOffers(next.Node.Summary.Services, known.record.Node.Summary.Services)
	var actions []Action
	if next.Status == StatusDead && known.record.Status != StatusDead {
		actions = append(actions, Died{Node: next.Node.ID, Leaving: next.Node.Leaving})
	}
	m.set(now, next, urgent)
	return actions, true
}

// set stores a record and queues it for the heartbeats.
func (m *Machine) set(now time.Time, record Record, urgent bool) {
	known, ok := m.entries[record.Node.ID]
	if !ok {
		known = &entry{since: now}
		m.entries[record.Node.ID] = known
	}
	if record.Status != known.record.Status {
		known.since, known.refused = now, false
	}
	m.stamp++
	known.record, known.stamp, known.changed = record, m.stamp, now
	if urgent {
		known.urgent = m.stamp
	}
	m.queue.put(record.Node.ID, urgent)
	if record.Status == StatusDead {
		delete(m.leaving, record.Node.ID)
	}
}

// supersedes tells whether the status of a stands over that of b.
func supersedes(a, b Record, fault Fault) bool {
	byIncarnation := cmp.Compare(a.Node.Incarnation, b.Node.Incarnation)
	if fault == FaultIgnoreIncarnation {
		byIncarnation = 0
	}
	if fault == FaultResurrectDead && b.Status == StatusDead && a.Status == StatusAlive {
		return true
	}
	return cmp.Or(byIncarnation, cmp.Compare(gravity(a.Status), gravity(b.Status))) > 0
}

func newerContent(a, b api.Node) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Summary.Sequence, b.Summary.Sequence),
	) > 0
}

func gravity(status Status) int {
	switch status {
	case StatusSuspect:
		return 1
	case StatusDead:
		return 2
	}
	return 0
}

// refute answers a rumour of the node's own death, or a record of its id from
// another process, with a higher incarnation that it pushes to some peers.
func (m *Machine) refute(record Record) []Action {
	if record.Node.Incarnation < m.self.Incarnation {
		return nil
	}
	foreign := record.Node.Address != m.self.Address
	if record.Status == StatusAlive && !foreign {
		return nil
	}
	var actions []Action
	if foreign {
		actions = m.noteRival(record)
	}
	if m.settings.Fault == FaultNoRefutation {
		return actions
	}
	m.self.Incarnation = record.Node.Incarnation + 1
	m.self.Summary.Sequence++
	m.stamp++
	if foreign {
		return actions // the other process answers each push with one of its own
	}
	return append(actions, m.push(m.settings.IndirectProbes)...)
}

// noteRival tells of a second process under this id once its record has come
// back after a refutation: a single one may be this node's own earlier life.
func (m *Machine) noteRival(record Record) []Action {
	address := record.Node.Address
	if m.rival != address {
		m.rival = address
		return nil
	}
	return []Action{DuplicateID{Address: address}}
}

// changeSelf takes what the node says of itself. A new leaving mark goes to
// every member at once, a new table revision to some.
func (m *Machine) changeSelf(now time.Time, message SelfChanged) []Action {
	leaves := message.Leaving && !m.self.Leaving
	newRevision := message.TableRevision > m.self.TableRevision
	summary := message.Summary
	summary.Sequence = m.self.Summary.Sequence
	if !leaves && !newRevision && message.Leaving == m.self.Leaving && reflect.DeepEqual(summary, m.self.Summary) {
		return nil
	}
	newOffers := !sameOffers(summary.Services, m.self.Summary.Services)
	summary.Sequence++
	m.self.Leaving = message.Leaving
	m.self.TableRevision = max(message.TableRevision, m.self.TableRevision)
	m.self.Summary = summary
	m.stamp++
	if leaves || newRevision || newOffers {
		m.urgent = m.stamp
	}
	actions := []Action{ViewChanged{}}
	switch {
	case m.observer:
	case leaves:
		for _, id := range m.liveMembers() {
			m.leaving[id] = true
		}
		actions = append(actions, m.push(math.MaxInt)...)
		actions = append(actions, m.publishNow(now)...)
	case newRevision:
		actions = append(actions, m.push(m.settings.IndirectProbes)...)
		actions = append(actions, m.publishNow(now)...)
	case newOffers:
		actions = append(actions, m.push(m.settings.IndirectProbes)...)
	}
	return actions
}

// sameOffers tells whether two loads are of the same rows with workers, the
// rows in the same order.
func sameOffers(a, b []api.ServiceSummary) bool {
	return slices.EqualFunc(a, b, func(a, b api.ServiceSummary) bool {
		return a.Key() == b.Key() && (a.Workers > 0) == (b.Workers > 0)
	})
}

// stop tells some members that the node is gone.
func (m *Machine) stop() []Action {
	if m.observer {
		return nil
	}
	last := m.selfRecord()
	last.Status = StatusDead
	var actions []Action
	for _, id := range m.randomMembers(2*m.settings.IndirectProbes, "") {
		actions = append(actions, m.send(id, PurposePush, Exchange{
			From: m.self.ID, Location: m.self.Location, Updates: []Record{last},
		}))
	}
	return actions
}

// push sends a heartbeat at once to count random members.
func (m *Machine) push(count int) []Action {
	var actions []Action
	for _, id := range m.randomMembers(count, "") {
		actions = append(actions, m.send(id, PurposePush, m.exchange(id)))
	}
	return actions
}

func (m *Machine) send(id api.NodeID, purpose Purpose, exchange Exchange) Send {
	return Send{Address: m.entries[id].record.Node.Address, Peer: id, Purpose: purpose, Exchange: exchange}
}

// liveMembers lists the other members that are not dead, sorted.
func (m *Machine) liveMembers() []api.NodeID {
	members := make([]api.NodeID, 0, len(m.entries))
	for id, e := range m.entries {
		if e.record.Status != StatusDead {
			members = append(members, id)
		}
	}
	slices.Sort(members)
	return members
}

func (m *Machine) randomMembers(count int, without api.NodeID) []api.NodeID {
	members := slices.DeleteFunc(m.liveMembers(), func(id api.NodeID) bool { return id == without })
	m.settings.Random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
