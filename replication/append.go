package replication

import (
	"fmt"
	"time"
)

// heartbeatsPerTimeout is how many a replica that has all gets in an election
// timeout.
const heartbeatsPerTimeout = 2

// propose appends a command, if this replica leads.
func (m *Machine) propose(proposal Propose) {
	err := m.mayPropose()
	if err == nil && m.uncommitted > 0 && m.uncommitted+len(proposal.Data) > m.settings.MaxUncommittedBytes {
		err = ErrOverloaded
	}
	if err != nil {
		m.emit(Proposed{Token: proposal.Token, Leader: m.leader, Err: err})
		return
	}
	m.appendOwn(proposal.Token, EntryCommand, proposal.Data)
}

func (m *Machine) mayPropose() error {
	switch {
	case m.role != RoleLeader:
		return ErrNotLeader
	case m.transfer != nil:
		return ErrTransferring
	}
	return nil
}

func (m *Machine) appendOwn(token uint64, kind EntryKind, data []byte) {
	entry := m.appendEntry(kind, data)
	m.emit(Proposed{Token: token, Index: entry.Index, Term: entry.Term})
}

// appendEntry appends as leader. The appends leave before the leader's own
// write: the disks work side by side.
func (m *Machine) appendEntry(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: m.log.last() + 1, Term: m.state.Term, Kind: kind, Data: data}
	m.log.append(entry)
	m.uncommitted += entrySize(entry)
	changed := m.members.add([]Entry{entry})
	m.broadcast() // also to a replica that is being removed, so that it knows
	if changed {
		m.membersChanged()
		m.broadcast()
	}
	m.persistEntries([]Entry{entry})
	if m.planted.countUnsyncedSelf || m.planted.commitAlone {
		m.advanceCommit()
	}
	return entry
}

func (m *Machine) persistEntries(entries []Entry) {
	last := entries[len(entries)-1].Index
	sequence := m.disk.entries(entries[0].Index, last)
	m.emit(Persist{Sequence: sequence, Entries: entries})
}

// durable is the last entry that this replica may acknowledge.
func (m *Machine) durable() uint64 {
	if m.planted.countUnsyncedSelf {
		return m.log.last()
	}
	return m.disk.index
}

// persisted takes the shell's answer to Persist.
func (m *Machine) persisted(done Persisted) {
	if !m.disk.complete(done.Sequence) {
		return
	}
	if m.role == RoleLeader {
		m.advanceCommit()
	}
	m.apply()
	if m.role == RoleFollower && m.leader != "" && m.matched() > m.answered {
		m.answerAppend()
	}
}

// broadcast sends what each replica may be sent.
func (m *Machine) broadcast() {
	for _, id := range m.order {
		m.replicate(id)
	}
}

// replicate fills the window of one replica.
func (m *Machine) replicate(id ReplicaID) {
	peer := m.peers[id]
	if id == m.settings.Self || peer == nil {
		return
	}
	for peer.next <= m.log.last() && peer.mayAppend(m.settings.MaxInflight) {
		m.sendAppend(id, peer, false)
	}
}

// sendAppend sends entries from next on; an empty one only shows that the leader
// lives and where it believes the logs are equal.
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
	peer.sent(len(entries))
	peer.lastSent, peer.commit = m.now, m.committed
}

// heartbeat sends to all, also to those whose window is full.
func (m *Machine) heartbeat() {
	for _, id := range m.order {
		m.heartbeatTo(id)
	}
}

// heartbeatDueOnes sends to those that have not been sent anything for a while.
func (m *Machine) heartbeatDueOnes() {
	for _, id := range m.order {
		if peer := m.peers[id]; !m.now.Before(peer.lastSent.Add(m.heartbeatInterval(peer))) {
			m.heartbeatTo(id)
		}
	}
}

// heartbeatInterval is longer for a replica that has all and for one that is not
// heard: to them a heartbeat only says that the leader lives, and a follower that
// misses one asks for a pre-vote, which the others refuse.
func (m *Machine) heartbeatInterval(peer *progress) time.Duration {
	settled := peer.match == m.log.last() && peer.commit == m.committed
	if settled || peer.silent {
		return max(m.settings.Heartbeat, m.settings.ElectionTimeout/heartbeatsPerTimeout)
	}
	return m.settings.Heartbeat
}

// heartbeatTo sends an empty append. To a replica that needs a snapshot it claims
// no more than that the empty logs are equal.
func (m *Machine) heartbeatTo(id ReplicaID) {
	if id == m.settings.Self {
		return
	}
	peer := m.peers[id]
	if _, known := m.log.term(peer.next - 1); known && peer.state != ProgressSnapshot {
		m.sendAppend(id, peer, true)
		return
	}
	m.send(WireMessage{Type: MessageAppend, To: id, Commit: m.committed, Round: m.confirmRound})
	peer.lastSent = m.now
	m.retrySnapshot(id, peer)
}

// receiveAppend takes entries from the leader of the present term.
func (m *Machine) receiveAppend(w WireMessage) {
	if m.role == RoleLeader && w.Term == m.state.Term {
		return // only a planted fault makes two leaders of a term
	}
	if m.contradicted(w) {
		return
	}
	m.follow(w.From)
	w = m.skipCommitted(w)
	if !m.log.matches(w.Index, w.LogTerm) && !(m.planted.skipMatch && w.Index <= m.log.last()) {
		m.refuseAppend(w)
		return
	}
	if decodable(w.Entries) != nil {
		return // garbled on the way; it is sent again
	}
	fresh := m.takeEntries(w.Entries)
	accepted := w.Index + uint64(len(w.Entries))
	m.verified = max(m.verified, accepted)
	m.commitTo(min(w.Commit, accepted))
	newRound := w.Round > m.round
	m.round = max(m.round, w.Round)
	if !fresh || newRound || m.matched() >= accepted {
		m.answerAppend() // else once it is on disk
	}
}

// follow takes the sender as the leader of the present term.
func (m *Machine) follow(leader ReplicaID) {
	if m.role != RoleFollower || m.leader != leader {
		m.becomeFollower(m.state.Term, leader)
	}
	m.heardLeader = m.now
	m.resetElection()
}

// skipCommitted cuts off what is committed here, which is equal in every later
// leader's log, so that the rest can be compared with the log.
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

// takeEntries appends what the log lacks, after dropping what contradicts it,
// and tells whether there was any.
func (m *Machine) takeEntries(entries []Entry) bool {
	fresh := entries[m.log.conflict(entries):]
	if len(fresh) == 0 {
		return false
	}
	if first := fresh[0].Index; first <= m.log.last() {
		m.truncate(first)
	}
	m.log.append(fresh...)
	m.members.add(fresh)
	m.persistEntries(fresh)
	return true
}

// contradicted halts the machine when the leader's log differs in what is
// committed here: some disk has lost what it promised to hold.
func (m *Machine) contradicted(w WireMessage) bool {
	differs := m.differsCommitted(w.Index, w.LogTerm)
	for _, entry := range w.Entries {
		differs = differs || m.differsCommitted(entry.Index, entry.Term)
	}
	if differs {
		m.halt(fmt.Errorf("%w, after entry %d of term %d, in term %d of %s", ErrContradiction, w.Index, w.LogTerm, w.Term, w.From))
	}
	return differs
}

func (m *Machine) differsCommitted(index, term uint64) bool {
	own, known := m.log.term(index)
	return known && index <= m.committed && own != term
}

func (m *Machine) truncate(first uint64) {
	m.log.truncate(first)
	m.members.truncate(first)
	m.disk.forget(first)
}

// refuseAppend tells the leader where to try next.
func (m *Machine) refuseAppend(w WireMessage) {
	retry := m.log.newestUpTo(w.Index, w.LogTerm)
	term, _ := m.log.term(retry)
	m.round = max(m.round, w.Round)
	m.send(WireMessage{
		Type: MessageAppendAnswer, To: w.From, Index: w.Index,
		Match: retry, LogTerm: term, Round: m.round,
	})
}

// matched is the last entry that equals the leader's and is on disk here.
func (m *Machine) matched() uint64 { return min(m.verified, m.durable()) }

func (m *Machine) answerAppend() {
	m.answered = m.matched()
	m.send(WireMessage{
		Type: MessageAppendAnswer, To: m.leader, Granted: true,
		Index: m.verified, Match: m.answered, Round: m.round,
	})
}

// receiveAppendAnswer learns how far a replica is.
func (m *Machine) receiveAppendAnswer(w WireMessage) {
	peer := m.peers[w.From]
	if m.role != RoleLeader || peer == nil || w.Match > m.log.last() || w.Round > m.confirmRound {
		return
	}
	peer.active, peer.silent = true, false
	peer.round = max(peer.round, w.Round)
	switch {
	case !w.Granted:
		peer.refused(w.Index, m.log.newestUpTo(w.Match, w.LogTerm))
	case peer.accepted(w.Index, w.Match):
		m.advanceCommit()
	}
	if m.role != RoleLeader {
		return // its removal was committed
	}
	m.replicate(w.From)
	m.continueTransfer(w.From)
	m.finishConfirms()
}

// advanceCommit commits what a majority has on disk. Entries of older terms are
// committed only along with one of this term: counted alone, a later leader
// could still replace them.
func (m *Machine) advanceCommit() {
	index := reached(m.members.current().Voters, m.matchOf)
	if m.planted.commitAlone {
		index = m.log.last()
	}
	if !m.planted.commitOldTerm && index < m.firstOwn {
		return
	}
	if index <= m.committed {
		return
	}
	m.commitTo(index)
	m.leaveIfRemoved()
	if m.role == RoleLeader {
		m.finishConfirms()
	}
}

// matchOf is what a replica is known to have on disk; the leader counts itself
// like any other.
func (m *Machine) matchOf(id ReplicaID) uint64 {
	if id == m.settings.Self {
		return m.durable()
	}
	return m.peers[id].match
}

func (m *Machine) commitTo(index uint64) {
	if index <= m.committed {
		return
	}
	if m.role == RoleLeader {
		m.uncommitted -= totalSize(m.log.between(m.committed+1, index))
	}
	m.committed = index
	m.apply()
}

// apply hands over what is committed and on this disk.
func (m *Machine) apply() {
	ready := min(m.committed, m.durable())
	if m.planted.applyUncommitted {
		ready = m.durable()
	}
	if ready <= m.applied {
		return
	}
	entries := m.log.between(m.applied+1, ready)
	m.applied = ready
	m.emit(Apply{Entries: entries})
}
