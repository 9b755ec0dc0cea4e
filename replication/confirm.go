package replication

// pendingConfirm is a request to confirm leadership that waits for a round to complete.
type pendingConfirm struct {
	token uint64
	round uint64
}

// confirmLeadership starts a round, or queues for the next one if a round is in
// progress: a round that started before the request proves nothing about it.
func (m *Machine) confirmLeadership(request ConfirmLeadership) {
	if m.role != RoleLeader {
		m.emit(LeadershipConfirmed{Token: request.Token, Leader: m.leader, Err: ErrNotLeader})
		return
	}
	idle := m.confirmRound == m.confirmedRound
	m.pendingConfirms = append(m.pendingConfirms, pendingConfirm{token: request.Token, round: m.confirmRound + 1})
	if idle {
		m.beginRound()
		m.sendHeartbeats()
	}
	m.resolveConfirms()
}

// beginRound starts a round if any request is pending. All later messages carry its
// number.
func (m *Machine) beginRound() {
	if len(m.pendingConfirms) > 0 {
		m.confirmRound++
	}
}

// retryRound starts another round while one is pending, as its messages may have been
// lost.
func (m *Machine) retryRound() {
	if len(m.pendingConfirms) > 0 {
		m.beginRound()
		m.sendHeartbeats()
	}
}

// resolveConfirms answers the pending requests whose round a majority has acknowledged.
// A new leader first has to commit an entry of its own term: until then it does not know
// the commit index.
func (m *Machine) resolveConfirms() {
	if m.committed < m.termStart {
		return
	}
	m.confirmedRound = max(m.confirmedRound, quorumValue(m.members.current().Voters, m.roundOf))
	remaining := m.pendingConfirms[:0]
	for _, confirm := range m.pendingConfirms {
		if confirm.round > m.confirmedRound && !m.bugs.skipConfirmRound {
			remaining = append(remaining, confirm)
			continue
		}
		m.emit(LeadershipConfirmed{Token: confirm.token, Index: m.committed, Term: m.state.Term})
	}
	m.pendingConfirms = remaining
	if len(remaining) > 0 && m.confirmRound == m.confirmedRound {
		m.beginRound()
		m.sendHeartbeats()
	}
}

func (m *Machine) roundOf(id ReplicaID) uint64 {
	if id == m.settings.Self {
		return m.confirmRound
	}
	return m.peers[id].round
}
