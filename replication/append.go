package replication

import (
	"fmt"
	"time"
)

// idleHeartbeatsPerTimeout is the number of heartbeats sent per election timeout to a
// replica that is up to date.
const idleHeartbeatsPerTimeout = 2

func (m *Machine) propose(request Propose) {
	err := m.checkCanPropose()
	if err == nil && m.uncommitted > 0 && m.uncommitted+len(request.Data) > m.settings.MaxUncommittedBytes {
		err = ErrOverloaded
	}
	if err != nil {
		m.emit(Proposed{Token: request.Token, Leader: m.leader, Err: err})
		return
	}
	m.appendProposal(request.Token, EntryCommand, request.Data)
}

func (m *Machine) checkCanPropose() error {
	switch {
	case m.role != RoleLeader:
		return ErrNotLeader
	case m.transfer != nil:
		return ErrTransferInProgress
	}
	return nil
}

func (m *Machine) appendProposal(token uint64, kind EntryKind, data []byte) {
	entry := m.appendEntry(kind, data)
	m.emit(Proposed{Token: token, Index: entry.Index, Term: entry.Term})
}

// appendEntry appends an entry as leader. It is sent to the followers before the
// leader's own Persist is issued, so that the disk writes overlap.
func (m *Machine) appendEntry(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: m.log.last() + 1, Term: m.state.Term, Kind: kind, Data: data}
	m.log.append(entry)
	m.uncommitted += entrySize(entry)
	changed := m.members.addChanges([]Entry{entry})
	m.broadcast() // before updatePeers, so that a replica being removed learns of it
	if changed {
		m.updatePeers()
		m.broadcast()
	}
	m.persistEntries([]Entry{entry})
	if m.bugs.countUnsynced || m.bugs.commitWithoutQuorum {
		m.advanceCommit()
	}
	return entry
}

func (m *Machine) persistEntries(entries []Entry) {
	last := entries[len(entries)-1].Index
	sequence := m.persists.recordAppend(entries[0].Index, last)
	m.emit(Persist{Sequence: sequence, Entries: entries})
}

// durableIndex is the index of the last entry that this replica may acknowledge.
func (m *Machine) durableIndex() uint64 {
	if m.bugs.countUnsynced {
		return m.log.last()
	}
	return m.persists.durableIndex
}

func (m *Machine) handlePersisted(done Persisted) {
	if !m.persists.complete(done.Sequence) {
		return
	}
	if m.role == RoleLeader {
		m.advanceCommit()
	}
	m.apply()
	if m.role == RoleFollower && m.leader != "" && m.matchIndex() > m.acknowledged {
		m.sendAppendResponse()
	}
}

// broadcast fills the append window of every replica.
func (m *Machine) broadcast() {
	for _, id := range m.peerIDs {
		m.fillWindow(id)
	}
}

// fillWindow sends appends to a replica until its window is full or it has been sent the
// whole log.
func (m *Machine) fillWindow(id ReplicaID) {
	peer := m.peers[id]
	if id == m.settings.Self || peer == nil {
		return
	}
	for peer.next <= m.log.last() && peer.canSend(m.settings.MaxInflight) {
		m.sendAppend(id, peer, false)
	}
}

// sendAppend sends the entries from peer.next on. An empty append is a heartbeat that
// also checks that the logs match up to peer.next-1.
func (m *Machine) sendAppend(id ReplicaID, peer *progress, empty bool) {
	previous := peer.next - 1
	term, known := m.log.term(previous)
	if !known {
		m.sendSnapshot(id, peer)
		return
	}
	var entries []Entry
	if !empty {
		entries = m.log.batch(peer.next, m.settings.MaxAppendBytes)
	}
	m.send(WireMessage{
		Type: MessageAppend, To: id, Index: previous, LogTerm: term,
		Commit: m.committed, Entries: entries, Round: m.confirmRound,
	})
	peer.recordSent(len(entries))
	peer.lastSentAt, peer.sentCommit = m.now, m.committed
}

// sendHeartbeats sends a heartbeat to every replica, including those whose window is
// full.
func (m *Machine) sendHeartbeats() {
	for _, id := range m.peerIDs {
		m.sendHeartbeat(id)
	}
}

// sendDueHeartbeats sends a heartbeat to each replica whose heartbeat interval has
// passed since the last append.
func (m *Machine) sendDueHeartbeats() {
	for _, id := range m.peerIDs {
		if peer := m.peers[id]; !m.now.Before(peer.lastSentAt.Add(m.heartbeatInterval(peer))) {
			m.sendHeartbeat(id)
		}
	}
}

// heartbeatInterval is longer for a replica that is up to date or not responding. Such a
// replica needs heartbeats only to detect the leader; one lost heartbeat causes at most
// a pre-vote, which the other replicas reject.
func (m *Machine) heartbeatInterval(peer *progress) time.Duration {
	upToDate := peer.match == m.log.last() && peer.sentCommit == m.committed
	if upToDate || peer.wasInactive {
		return m.idleHeartbeatInterval()
	}
	return m.settings.Heartbeat
}

func (m *Machine) idleHeartbeatInterval() time.Duration {
	return max(m.settings.Heartbeat, m.settings.ElectionTimeout/idleHeartbeatsPerTimeout)
}

// sendHeartbeat sends an empty append. If the replica needs a snapshot, the append
// refers to index 0, which always matches.
func (m *Machine) sendHeartbeat(id ReplicaID) {
	if id == m.settings.Self {
		return
	}
	peer := m.peers[id]
	if _, known := m.log.term(peer.next - 1); known && peer.state != ProgressSnapshot {
		m.sendAppend(id, peer, true)
		return
	}
	m.send(WireMessage{Type: MessageAppend, To: id, Commit: m.committed, Round: m.confirmRound})
	peer.lastSentAt = m.now
	m.retrySnapshot(id, peer)
}

// receiveAppend handles an append from the leader of the current term.
func (m *Machine) receiveAppend(w WireMessage) {
	if m.role == RoleLeader && w.Term == m.state.Term {
		return // two leaders in one term occur only with an injected bug
	}
	if m.haltOnConflict(w) {
		return
	}
	m.follow(w.From)
	w = m.skipCommitted(w)
	if !m.log.matches(w.Index, w.LogTerm) && !(m.bugs.skipLogMatch && w.Index <= m.log.last()) {
		m.rejectAppend(w)
		return
	}
	if checkMembersEntries(w.Entries) != nil {
		return // corrupted in transit; the leader retransmits
	}
	missing := m.appendMissing(w.Entries)
	accepted := w.Index + uint64(len(w.Entries))
	m.verified = max(m.verified, accepted)
	m.commitTo(min(w.Commit, accepted))
	newRound := w.Round > m.round
	m.round = max(m.round, w.Round)
	if !missing || newRound || m.matchIndex() >= accepted {
		m.sendAppendResponse() // otherwise handlePersisted responds once the entries are on disk
	}
}

// follow records the sender as leader of the current term and resets the election timer.
func (m *Machine) follow(leader ReplicaID) {
	if m.role != RoleFollower || m.leader != leader {
		m.becomeFollower(m.state.Term, leader)
	}
	m.observeSilence(m.now.Sub(m.leaderHeardAt))
	m.leaderHeardAt = m.now
	m.resetElectionTimer()
}

// skipCommitted drops the entries that are already committed here. They are identical in
// the log of every later leader, and may have been compacted, so they can't be compared.
func (m *Machine) skipCommitted(w WireMessage) WireMessage {
	if w.Index >= m.committed {
		return w
	}
	skip := min(m.committed-w.Index, uint64(len(w.Entries)))
	w.Entries = w.Entries[skip:]
	w.Index = m.committed
	w.LogTerm, _ = m.log.term(m.committed)
	return w
}

// appendMissing appends the entries that the log lacks, after truncating any conflicting
// suffix, and reports whether there were any.
func (m *Machine) appendMissing(entries []Entry) bool {
	missing := entries[m.log.matchingPrefix(entries):]
	if len(missing) == 0 {
		return false
	}
	if first := missing[0].Index; first <= m.log.last() {
		m.truncate(first)
	}
	m.log.append(missing...)
	m.members.addChanges(missing)
	m.persistEntries(missing)
	return true
}

// haltOnConflict halts the machine if the leader's log conflicts with an entry committed
// here, which means that some disk has lost acknowledged entries.
func (m *Machine) haltOnConflict(w WireMessage) bool {
	conflict := m.conflictsWithCommitted(w.Index, w.LogTerm)
	for _, entry := range w.Entries {
		conflict = conflict || m.conflictsWithCommitted(entry.Index, entry.Term)
	}
	if conflict {
		m.halt(fmt.Errorf("%w, after entry %d of term %d, in term %d of %s", ErrCommittedConflict, w.Index, w.LogTerm, w.Term, w.From))
	}
	return conflict
}

func (m *Machine) conflictsWithCommitted(index, term uint64) bool {
	own, known := m.log.term(index)
	return known && index <= m.committed && own != term
}

func (m *Machine) truncate(first uint64) {
	m.log.truncate(first)
	m.members.truncate(first)
	m.persists.truncate(first)
}

// rejectAppend sends a rejection with the index at which the leader should retry.
func (m *Machine) rejectAppend(w WireMessage) {
	retry := m.log.findConflictByTerm(w.Index, w.LogTerm)
	term, _ := m.log.term(retry)
	m.round = max(m.round, w.Round)
	m.send(WireMessage{
		Type: MessageAppendResponse, To: w.From, Index: w.Index,
		Match: retry, LogTerm: term, Round: m.round,
	})
}

// matchIndex is the index of the last entry that matches the leader's log and is on
// disk.
func (m *Machine) matchIndex() uint64 { return min(m.verified, m.durableIndex()) }

func (m *Machine) sendAppendResponse() {
	m.acknowledged = m.matchIndex()
	m.send(WireMessage{
		Type: MessageAppendResponse, To: m.leader, Granted: true,
		Index: m.verified, Match: m.acknowledged, Round: m.round,
	})
}

// receiveAppendResponse updates the leader's view of a follower's log.
func (m *Machine) receiveAppendResponse(w WireMessage) {
	peer := m.peers[w.From]
	if m.role != RoleLeader || peer == nil || w.Match > m.log.last() || w.Round > m.confirmRound {
		return
	}
	peer.active, peer.wasInactive, peer.heardAt = true, false, m.now
	peer.round = max(peer.round, w.Round)
	switch {
	case !w.Granted:
		peer.recordRejected(w.Index, m.log.findConflictByTerm(w.Match, w.LogTerm))
	case peer.recordAccepted(w.Index, w.Match):
		m.advanceCommit()
	}
	if m.role != RoleLeader {
		return // committing its own removal ended its leadership
	}
	m.fillWindow(w.From)
	m.continueTransfer(w.From)
	m.resolveConfirms()
}

// advanceCommit commits the entries that a majority has on disk. Entries of earlier
// terms are committed only together with one of the current term, as a later leader
// could still overwrite them otherwise (Raft paper, section 5.4.2).
func (m *Machine) advanceCommit() {
	index := quorumValue(m.members.current().Voters, m.matchIndexOf)
	if m.bugs.commitWithoutQuorum {
		index = m.log.last()
	}
	if !m.bugs.commitPriorTerm && index < m.termStart {
		return
	}
	if index <= m.committed {
		return
	}
	m.commitTo(index)
	m.stepDownIfRemoved()
	if m.role == RoleLeader {
		m.resolveConfirms()
	}
}

// matchIndexOf is the last index known to be on a replica's disk. The leader's own disk
// counts like any other.
func (m *Machine) matchIndexOf(id ReplicaID) uint64 {
	if id == m.settings.Self {
		return m.durableIndex()
	}
	return m.peers[id].match
}

func (m *Machine) commitTo(index uint64) {
	if index <= m.committed {
		return
	}
	if m.role == RoleLeader {
		m.uncommitted -= totalSize(m.log.slice(m.committed+1, index))
	}
	m.committed = index
	m.apply()
}

// apply emits the committed entries that are on this replica's disk and not yet applied.
func (m *Machine) apply() {
	ready := min(m.committed, m.durableIndex())
	if m.bugs.applyUncommitted {
		ready = m.durableIndex()
	}
	if ready <= m.applied {
		return
	}
	entries := m.log.slice(m.applied+1, ready)
	m.applied = ready
	m.emit(Apply{Entries: entries})
}
