package membership

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// deadRetentionFactor times the suspect timeout is how long a dead record is kept,
// so that a stale update cannot bring the node back.
const deadRetentionFactor = 60

// merge applies the updates of a peer of the same zone.
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
		if exchange.Full && record.Status == StatusDead && record.Node.ID != exchange.From {
			// A full view may come from the other side of a healed partition:
			// give the nodes that it declared dead a chance to refute.
			if _, known := m.entries[record.Node.ID]; !known {
				continue
			}
			record.Status = StatusSuspect
		}
		more, differs := m.mergeRecord(now, record)
		if exchange.Full && !m.joined {
			// The sender has already gossiped these records.
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

// mergeRecord orders statuses by incarnation, then severity, and contents by
// incarnation, then summary sequence. It reports whether the record changed.
func (m *Machine) mergeRecord(now time.Time, record Record) ([]Action, bool) {
	record.Node.Location = m.location
	known, ok := m.entries[record.Node.ID]
	if !ok {
		m.storeRecord(now, record, true)
		return nil, true
	}
	next := known.record
	if supersedes(record, known.record, m.settings.Fault) {
		next.Status = record.Status
		next.Node.Incarnation = record.Node.Incarnation
	}
	// Updating a dead node's load would requeue its death, which may since have been
	// refuted elsewhere.
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
		!sameOfferedRows(next.Node.Summary.Services, known.record.Node.Summary.Services)
	var actions []Action
	if next.Status == StatusDead && known.record.Status != StatusDead {
		actions = append(actions, MemberDied{Node: next.Node.ID, Leaving: next.Node.Leaving})
	}
	m.storeRecord(now, next, urgent)
	return actions, true
}

// storeRecord stores a record and queues it for gossip.
func (m *Machine) storeRecord(now time.Time, record Record, urgent bool) {
	known, ok := m.entries[record.Node.ID]
	if !ok {
		known = &entry{statusSince: now}
		m.entries[record.Node.ID] = known
	}
	if record.Status != known.record.Status {
		known.statusSince, known.refused = now, false
	}
	m.changeIndex++
	known.record, known.changeIndex, known.changed = record, m.changeIndex, now
	if urgent {
		known.urgentIndex = m.changeIndex
	}
	m.queue.put(record.Node.ID, urgent)
	if record.Status == StatusDead {
		delete(m.unackedLeaves, record.Node.ID)
	}
}

// supersedes reports whether the status of a overrides that of b.
func supersedes(a, b Record, fault Fault) bool {
	byIncarnation := cmp.Compare(a.Node.Incarnation, b.Node.Incarnation)
	if fault == FaultIgnoreIncarnation {
		byIncarnation = 0
	}
	if fault == FaultResurrectDead && b.Status == StatusDead && a.Status == StatusAlive {
		return true
	}
	return cmp.Or(byIncarnation, cmp.Compare(severity(a.Status), severity(b.Status))) > 0
}

func newerContent(a, b api.Node) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Summary.Sequence, b.Summary.Sequence),
	) > 0
}

func severity(status Status) int {
	switch status {
	case StatusSuspect:
		return 1
	case StatusDead:
		return 2
	}
	return 0
}

// refute responds to a suspicion of this node, or to a record with its id from
// another process, with a higher incarnation, which it pushes to some peers.
func (m *Machine) refute(record Record) []Action {
	if record.Node.Incarnation < m.self.Incarnation {
		return nil
	}
	otherProcess := record.Node.Address != m.self.Address
	if record.Status == StatusAlive && !otherProcess {
		return nil
	}
	var actions []Action
	if otherProcess {
		actions = m.reportDuplicateID(record)
	}
	if m.settings.Fault == FaultNoRefutation {
		return actions
	}
	m.self.Incarnation = record.Node.Incarnation + 1
	m.self.Summary.Sequence++
	m.changeIndex++
	if otherProcess {
		return actions // pushing would start a loop: the other process pushes in return
	}
	return append(actions, m.push(m.settings.IndirectProbes)...)
}

// reportDuplicateID reports a second process with this node's id once its record
// reappears after a refutation: a single record may be of this node's previous
// incarnation.
func (m *Machine) reportDuplicateID(record Record) []Action {
	address := record.Node.Address
	if m.duplicateAddress != address {
		m.duplicateAddress = address
		return nil
	}
	return []Action{DuplicateID{Address: address}}
}

// changeSelf updates the node's own record. A new leaving mark is pushed to every
// member at once, a new table revision or a change of the offered rows to a few.
func (m *Machine) changeSelf(now time.Time, message SelfChanged) []Action {
	leaves := message.Leaving && !m.self.Leaving
	newRevision := message.TableRevision > m.self.TableRevision
	summary := message.Summary
	summary.Sequence = m.self.Summary.Sequence
	if !leaves && !newRevision && message.Leaving == m.self.Leaving && reflect.DeepEqual(summary, m.self.Summary) {
		return nil
	}
	offersChanged := !sameOfferedRows(summary.Services, m.self.Summary.Services)
	summary.Sequence++
	m.self.Leaving = message.Leaving
	m.self.TableRevision = max(message.TableRevision, m.self.TableRevision)
	m.self.Summary = summary
	m.changeIndex++
	if leaves || newRevision || offersChanged {
		m.urgentIndex = m.changeIndex
	}
	actions := []Action{ViewChanged{}}
	switch {
	case m.observer:
	case leaves:
		for _, id := range m.liveMembers() {
			m.unackedLeaves[id] = true
		}
		actions = append(actions, m.push(math.MaxInt)...)
		actions = append(actions, m.publishUrgent(now)...)
	case newRevision:
		actions = append(actions, m.push(m.settings.IndirectProbes)...)
		actions = append(actions, m.publishUrgent(now)...)
	case offersChanged:
		actions = append(actions, m.push(m.settings.IndirectProbes)...)
	}
	return actions
}

// sameOfferedRows reports whether a and b list the same rows in the same order, with
// workers for the same ones.
func sameOfferedRows(a, b []api.ServiceSummary) bool {
	return slices.EqualFunc(a, b, func(a, b api.ServiceSummary) bool {
		return a.Key() == b.Key() && (a.Workers > 0) == (b.Workers > 0)
	})
}

// stop announces the node's own death to some members.
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

// push sends an immediate heartbeat to count random members.
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

// liveMembers returns the ids of the other members that are not dead, sorted.
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

// randomMembers returns up to count live members other than exclude, in random order.
func (m *Machine) randomMembers(count int, exclude api.NodeID) []api.NodeID {
	members := slices.DeleteFunc(m.liveMembers(), func(id api.NodeID) bool { return id == exclude })
	m.settings.Random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
