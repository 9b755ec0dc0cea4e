package replication

import (
	"encoding/json"
	"fmt"
	"slices"
)

// membersHistory holds the configurations of the group. The newest one in the log is in
// effect, committed or not; it is reverted if its entry is truncated.
type membersHistory struct {
	base    Members // in effect at the start of the log
	changes []memberChange
}

type memberChange struct {
	index   uint64
	members Members
}

func (c *membersHistory) current() Members {
	if len(c.changes) == 0 {
		return c.base
	}
	return c.changes[len(c.changes)-1].members
}

// lastChangeIndex is the index of the newest change in the log, or 0.
func (c *membersHistory) lastChangeIndex() uint64 {
	if len(c.changes) == 0 {
		return 0
	}
	return c.changes[len(c.changes)-1].index
}

// at returns the configuration in effect at index.
func (c *membersHistory) at(index uint64) Members {
	members := c.base
	for _, change := range c.changes {
		if change.index <= index {
			members = change.members
		}
	}
	return members
}

// addChanges records the membership changes among entries and reports whether there were
// any. The entries must have passed checkMembersEntries.
func (c *membersHistory) addChanges(entries []Entry) bool {
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

// truncate drops the changes from index on and reports whether there were any.
func (c *membersHistory) truncate(index uint64) bool {
	before := len(c.changes)
	c.changes = slices.DeleteFunc(c.changes, func(change memberChange) bool { return change.index >= index })
	return len(c.changes) < before
}

// compact makes the configuration in effect at index the base.
func (c *membersHistory) compact(index uint64) {
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

func checkMembersEntries(entries []Entry) error {
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

// replicaIDs returns the voters and learners, sorted.
func (m Members) replicaIDs() []ReplicaID {
	all := slices.Concat(m.Voters, m.Learners)
	slices.Sort(all)
	return all
}

func (m Members) isVoter(id ReplicaID) bool   { return slices.Contains(m.Voters, id) }
func (m Members) isLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// changedReplica returns the single replica in which two configurations differ. With one
// change at a time, any majority of the old voters overlaps any majority of the new
// ones, so the two can't elect different leaders in a term.
func changedReplica(from, to Members) (ReplicaID, error) {
	all := to.replicaIDs()
	if len(to.Voters) == 0 || slices.Contains(all, "") || len(slices.Compact(slices.Clone(all))) != len(all) {
		return "", ErrInvalidMembers
	}
	var differing []ReplicaID
	union := slices.Concat(from.replicaIDs(), all)
	slices.Sort(union)
	for _, id := range slices.Compact(union) {
		if from.isVoter(id) != to.isVoter(id) || from.isLearner(id) != to.isLearner(id) {
			differing = append(differing, id)
		}
	}
	if len(differing) != 1 {
		return "", ErrInvalidMembers
	}
	return differing[0], nil
}

// proposeMembers appends a membership change.
func (m *Machine) proposeMembers(request ProposeMembers) {
	if err := m.checkMembers(request.Members); err != nil {
		m.emit(Proposed{Token: request.Token, Leader: m.leader, Err: err})
		return
	}
	data, err := json.Marshal(request.Members)
	if err != nil {
		m.emit(Proposed{Token: request.Token, Leader: m.leader, Err: err})
		return
	}
	m.appendProposal(request.Token, EntryMembers, data)
}

func (m *Machine) checkMembers(members Members) error {
	if err := m.checkCanPropose(); err != nil {
		return err
	}
	if m.committed < m.termStart {
		return ErrNotReady
	}
	if m.members.lastChangeIndex() > m.committed {
		return ErrChangePending
	}
	current := m.members.current()
	id, err := changedReplica(current, members)
	if err != nil {
		return err
	}
	if !members.isVoter(id) || current.isVoter(id) {
		return nil
	}
	return m.checkPromotion(current, id)
}

// checkPromotion allows a learner to become a voter only once it has on disk all entries
// that were committed at the last heartbeat. A lagging voter would delay commits.
func (m *Machine) checkPromotion(current Members, id ReplicaID) error {
	if !current.isLearner(id) {
		return ErrInvalidMembers
	}
	if m.peers[id].match < max(m.committedAtHeartbeat, m.termStart) {
		return ErrNotCaughtUp
	}
	return nil
}

// updatePeers adds and removes the leader's progress entries to match the current
// members.
func (m *Machine) updatePeers() {
	if m.role != RoleLeader {
		return
	}
	m.peerIDs = m.members.current().replicaIDs()
	for _, id := range m.peerIDs {
		if m.peers[id] == nil {
			m.peers[id] = &progress{state: ProgressProbe, next: m.log.last() + 1, heardAt: m.now}
		}
	}
	for id := range m.peers {
		if !slices.Contains(m.peerIDs, id) {
			delete(m.peers, id)
		}
	}
}

// stepDownIfRemoved ends the leadership of a replica whose removal or demotion is
// committed.
func (m *Machine) stepDownIfRemoved() {
	removed := !m.members.current().isVoter(m.settings.Self) && m.members.lastChangeIndex() <= m.committed
	if m.role != RoleLeader || !removed {
		return
	}
	m.yieldLeadership()
}
