package replication

// fetch is a snapshot that the shell is fetching.
type fetch struct {
	snapshot Snapshot
	from     ReplicaID
}

// compact drops the log that a snapshot replaces, but for some trailing entries.
func (m *Machine) compact(snapshot Snapshot) {
	if snapshot.Index <= m.snapshot.Index || snapshot.Index > m.applied {
		return
	}
	snapshot.Term, _ = m.log.term(snapshot.Index)
	snapshot.Members = m.members.at(snapshot.Index)
	m.snapshot = snapshot
	m.emit(Persist{Sequence: m.disk.next(), Snapshot: &snapshot})
	m.trim(snapshot.Index - min(snapshot.Index, uint64(m.settings.TrailingEntries)))
}

func (m *Machine) trim(index uint64) {
	if index > m.log.offset {
		m.members.compact(index)
		m.log.compact(index)
	}
}

// sendSnapshot sends the newest snapshot to a replica that needs entries which
// are gone, once it is heard.
func (m *Machine) sendSnapshot(id ReplicaID, peer *progress) {
	snapshot := m.snapshot
	peer.state, peer.snapshot, peer.inflight = ProgressSnapshot, snapshot.Index, nil
	peer.resendDue = m.now.Add(m.settings.ElectionTimeout)
	m.send(WireMessage{Type: MessageSnapshot, To: id, Snapshot: &snapshot, Round: m.confirmRound})
}

// retrySnapshot sends again to a replica that is alive and has not answered.
func (m *Machine) retrySnapshot(id ReplicaID, peer *progress) {
	if peer.active && !m.now.Before(peer.resendDue) {
		m.sendSnapshot(id, peer)
	}
}

// receiveSnapshot asks the shell to fetch the state, unless the log already has
// all of it.
func (m *Machine) receiveSnapshot(w WireMessage) {
	if w.Snapshot == nil || m.role == RoleLeader {
		return
	}
	m.follow(w.From)
	m.round = max(m.round, w.Round)
	snapshot := *w.Snapshot
	if m.hasSnapshot(snapshot) {
		m.answerAppend()
		return
	}
	if m.fetching != nil && m.fetching.from == w.From {
		return // a newer one must not break off a long fetch again and again
	}
	m.fetching = &fetch{snapshot: snapshot, from: w.From}
	m.emit(FetchSnapshot{From: w.From, Snapshot: snapshot})
}

// hasSnapshot takes a snapshot that the log already covers. Whatever a snapshot
// covers is committed, and so equal in the log of every later leader.
func (m *Machine) hasSnapshot(snapshot Snapshot) bool {
	covered := snapshot.Index <= m.committed
	if !covered && !m.log.matches(snapshot.Index, snapshot.Term) {
		return false
	}
	m.verified = max(m.verified, snapshot.Index)
	m.commitTo(snapshot.Index)
	return true
}

// snapshotFetched puts a staged snapshot in force.
func (m *Machine) snapshotFetched(done SnapshotFetched) {
	fetching := m.fetching
	if fetching == nil || fetching.snapshot.Index != done.Index || fetching.snapshot.Term != done.Term {
		return
	}
	m.fetching = nil
	if done.Err != nil {
		m.send(WireMessage{Type: MessageSnapshotAnswer, To: fetching.from, Index: done.Index})
		return
	}
	if m.role != RoleFollower {
		m.becomeFollower(m.state.Term, "") // what it asked votes for is replaced
	}
	if !m.hasSnapshot(fetching.snapshot) {
		m.install(fetching.snapshot)
	}
}

func (m *Machine) install(snapshot Snapshot) {
	m.snapshot = snapshot
	m.log.reset(snapshot.Index, snapshot.Term)
	m.members = membership{base: snapshot.Members}
	m.committed, m.applied = snapshot.Index, snapshot.Index
	m.verified = max(m.verified, snapshot.Index)
	m.emit(Persist{Sequence: m.disk.reset(snapshot.Index), Snapshot: &snapshot, Reset: true})
}

// receiveSnapshotAnswer hears that fetching failed and sends again with the next
// heartbeat.
func (m *Machine) receiveSnapshotAnswer(w WireMessage) {
	peer := m.peers[w.From]
	if m.role != RoleLeader || peer == nil || peer.state != ProgressSnapshot || peer.snapshot != w.Index {
		return
	}
	peer.active, peer.silent = true, false
	peer.resendDue = m.now
}
