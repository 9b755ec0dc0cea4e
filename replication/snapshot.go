package replication

// pendingFetch is a snapshot that the shell is fetching.
type pendingFetch struct {
	snapshot Snapshot
	from     ReplicaID
}

// compact drops the log that a snapshot replaces, except for TrailingEntries.
func (m *Machine) compact(snapshot Snapshot) {
	if snapshot.Index <= m.snapshot.Index || snapshot.Index > m.applied {
		return
	}
	snapshot.Term, _ = m.log.term(snapshot.Index)
	snapshot.Members = m.members.at(snapshot.Index)
	m.snapshot = snapshot
	m.emit(Persist{Sequence: m.persists.nextSequence(), Snapshot: &snapshot})
	m.compactLog(snapshot.Index - min(snapshot.Index, uint64(m.settings.TrailingEntries)))
}

func (m *Machine) compactLog(index uint64) {
	if index > m.log.offset {
		m.members.compact(index)
		m.log.compact(index)
	}
}

// sendSnapshot sends the newest snapshot to a replica that needs compacted entries.
func (m *Machine) sendSnapshot(id ReplicaID, peer *progress) {
	snapshot := m.snapshot
	peer.state, peer.snapshotIndex, peer.inflight = ProgressSnapshot, snapshot.Index, nil
	peer.snapshotRetryAt = m.now.Add(m.settings.ElectionTimeout)
	m.send(WireMessage{Type: MessageSnapshot, To: id, Snapshot: &snapshot, Round: m.confirmRound})
}

// retrySnapshot resends the snapshot to a replica that is alive but has not installed it
// in time.
func (m *Machine) retrySnapshot(id ReplicaID, peer *progress) {
	if peer.active && !m.now.Before(peer.snapshotRetryAt) {
		m.sendSnapshot(id, peer)
	}
}

// receiveSnapshot asks the shell to fetch the state, unless the log already covers it.
func (m *Machine) receiveSnapshot(w WireMessage) {
	if w.Snapshot == nil || m.role == RoleLeader {
		return
	}
	m.follow(w.From)
	m.round = max(m.round, w.Round)
	snapshot := *w.Snapshot
	if m.coversSnapshot(snapshot) {
		m.sendAppendResponse()
		return
	}
	if m.fetching != nil && m.fetching.from == w.From {
		return // newer snapshots must not keep restarting a long fetch
	}
	m.fetching = &pendingFetch{snapshot: snapshot, from: w.From}
	m.emit(FetchSnapshot{From: w.From, Snapshot: snapshot})
}

// coversSnapshot reports whether the log already covers the snapshot, and commits up to
// it if so. Everything in a snapshot is committed, and so identical in the log of every
// later leader.
func (m *Machine) coversSnapshot(snapshot Snapshot) bool {
	covered := snapshot.Index <= m.committed
	if !covered && !m.log.matches(snapshot.Index, snapshot.Term) {
		return false
	}
	m.verified = max(m.verified, snapshot.Index)
	m.commitTo(snapshot.Index)
	return true
}

// snapshotFetched installs the staged snapshot.
func (m *Machine) snapshotFetched(done SnapshotFetched) {
	fetching := m.fetching
	if fetching == nil || fetching.snapshot.Index != done.Index || fetching.snapshot.Term != done.Term {
		return
	}
	m.fetching = nil
	if done.Err != nil {
		m.send(WireMessage{Type: MessageSnapshotResponse, To: fetching.from, Index: done.Index})
		return
	}
	if m.role != RoleFollower {
		m.becomeFollower(m.state.Term, "") // the log it campaigned with is replaced
	}
	if !m.coversSnapshot(fetching.snapshot) {
		m.installSnapshot(fetching.snapshot)
	}
}

func (m *Machine) installSnapshot(snapshot Snapshot) {
	m.snapshot = snapshot
	m.log.reset(snapshot.Index, snapshot.Term)
	m.members = membersHistory{base: snapshot.Members}
	m.committed, m.applied = snapshot.Index, snapshot.Index
	m.verified = max(m.verified, snapshot.Index)
	m.emit(Persist{Sequence: m.persists.recordReset(snapshot.Index), Snapshot: &snapshot, Reset: true})
}

// receiveSnapshotResponse handles a failed fetch: the snapshot is resent with the next
// heartbeat.
func (m *Machine) receiveSnapshotResponse(w WireMessage) {
	peer := m.peers[w.From]
	if m.role != RoleLeader || peer == nil || peer.state != ProgressSnapshot || peer.snapshotIndex != w.Index {
		return
	}
	peer.active, peer.wasInactive = true, false
	peer.snapshotRetryAt = m.now
}
