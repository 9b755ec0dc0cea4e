package replication

import (
	"encoding/json"
	"fmt"
	"slices"
)

// membership holds the group's configurations. The newest in the log is in
// force, committed or not; it goes again with its entry.
type membership struct {
	base    Members // in force at the start of the log
	changes []memberChange
}

type memberChange struct {
	index   uint64
	members Members
}

func (c *membership) current() Members {
	if len(c.changes) == 0 {
		return c.base
	}
	return c.changes[len(c.changes)-1].members
}

// changedAt is the index of the newest change in the log, or 0.
func (c *membership) changedAt() uint64 {
	if len(c.changes) == 0 {
		return 0
	}
	return c.changes[len(c.changes)-1].index
}

// at gives what is in force at index.
func (c *membership) at(index uint64) Members {
	members := c.base
	for _, change := range c.changes {
		if change.index <= index {
			members = change.members
		}
	}
	return members
}

// add notes the changes among entries; decodeMembers has passed them all.
func (c *membership) add(entries []Entry) bool {
	before := len(c.changes)
	for _, entry := range entries {
		if entry.Kind != EntryMembers {
			continue
		}
		members, _ := decodeMembers(entry)
		c.changes = append(c.changes, memberChange{index: entry.Index, members: members})
	}
	return len(c.changes) > before
}

// truncate forgets the changes from index on.
func (c *membership) truncate(index uint64) bool {
	before := len(c.changes)
	c.changes = slices.DeleteFunc(c.changes, func(change memberChange) bool { return change.index >= index })
	return len(c.changes) < before
}

// compact keeps as base what is in force at index.
func (c *membership) compact(index uint64) {
	c.base = c.at(index)
	c.changes = slices.DeleteFunc(c.changes, func(change memberChange) bool { return change.index <= index })
}

func decodeMembers(entry Entry) (Members, error) {
	var members Members
	if err := json.Unmarshal(entry.Data, &members); err != nil {
		return Members{}, fmt.Errorf("%w: members at entry %d: %w", ErrCorruptLog, entry.Index, err)
	}
	return members, nil
}

func decodable(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryMembers {
			continue
		}
		if _, err := decodeMembers(entry); err != nil {
			return err
		}
	}
	return nil
}

// all gives voters and learners, sorted.
func (m Members) all() []ReplicaID {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return all
}

func (m Members) votes(id ReplicaID) bool  { return slices.Contains(m.Voters, id) }
func (m Members) learns(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// changed gives the one replica in which two configurations differ. Since any
// majority of one then meets any majority of the other, no two leaders can be
// chosen by old and new voters apart.
func changed(from, to Members) (ReplicaID, error) {
	all := to.all()
	if len(to.Voters) == 0 || slices.Contains(all, "") || len(slices.Compact(slices.Clone(all))) != len(all) {
		return "", ErrInvalidMembers
	}
	var differing []ReplicaID
	union := slices.Concat(from.all(), all)
	slices.Sort(union)
	for _, id := range slices.Compact(union) {
		if from.votes(id) != to.votes(id) || from.learns(id) != to.learns(id) {
			differing = append(differing, id)
		}
	}
	if len(differing) != 1 {
		return "", ErrInvalidMembers
	}
	return differing[0], nil
}

// proposeMembers appends a change of one replica.
func (m *Machine) proposeMembers(proposal ProposeMembers) {
	if err := m.checkMembers(proposal.Members); err != nil {
		m.emit(Proposed{Token: proposal.Token, Leader: m.leader, Err: err})
		return
	}
	data, err := json.Marshal(proposal.Members)
	if err != nil {
		m.emit(Proposed{Token: proposal.Token, Leader: m.leader, Err: err})
		return
	}
	m.appendOwn(proposal.Token, EntryMembers, data)
}

func (m *Machine) checkMembers(members Members) error {
	if err := m.mayPropose(); err != nil {
		return err
	}
	if m.committed < m.firstOwn {
		return ErrNotReady
	}
	if m.members.changedAt() > m.committed {
		return ErrChangePending
	}
	current := m.members.current()
	id, err := changed(current, members)
	if err != nil {
		return err
	}
	if !members.votes(id) || current.votes(id) {
		return nil
	}
	return m.checkNewVoter(current, id)
}

// checkNewVoter lets a learner vote once it has on disk all that was committed
// a heartbeat ago; before, it would only be a voter that holds up commits.
func (m *Machine) checkNewVoter(current Members, id ReplicaID) error {
	if !current.learns(id) {
		return ErrInvalidMembers
	}
	if m.peers[id].match < max(m.committedBefore, m.firstOwn) {
		return ErrNotCaughtUp
	}
	return nil
}

// membersChanged fits what the leader keeps of each replica to the members now
// in force.
func (m *Machine) membersChanged() {
	if m.role != RoleLeader {
		return
	}
	m.order = m.members.current().all()
	for _, id := range m.order {
		if m.peers[id] == nil {
			m.peers[id] = &progress{state: ProgressProbe, next: m.log.last() + 1}
		}
	}
	for id := range m.peers {
		if !slices.Contains(m.order, id) {
			delete(m.peers, id)
		}
	}
}

// leaveIfRemoved ends the leadership of a replica whose removal is committed.
func (m *Machine) leaveIfRemoved() {
	removed := !m.members.current().votes(m.settings.Self) && m.members.changedAt() <= m.committed
	if m.role != RoleLeader || !removed {
		return
	}
	m.stepAside()
}
