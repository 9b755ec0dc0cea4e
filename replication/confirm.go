package replication

// confirmation is a Confirm that waits for its round.
type confirmation struct {
	token uint64
	round uint64
}

// confirm begins a round, or waits for the next one while another is on its
// way: a round that began before the message proves nothing for it.
func (m *Machine) confirm(confirm Confirm) {
	if m.role != RoleLeader {
		m.emit(Confirmed{Token: confirm.Token, Leader: m.leader, Err: ErrNotLeader})
		return
	}
	idle := m.confirmRound == m.confirmDone
	m.confirms = append(m.confirms, confirmation{token: confirm.Token, round: m.confirmRound + 1})
	if idle {
		m.beginRound()
		m.heartbeat()
	}
	m.finishConfirms()
}

// beginRound opens a round if any Confirm waits for one. All sends from now on
// carry it.
func (m *Machine) beginRound() {
	if len(m.confirms) > 0 {
		m.confirmRound++
	}
}

// repeatRound opens another round while one waits: its messages may be lost.
func (m *Machine) repeatRound() {
	if len(m.confirms) > 0 {
		m.beginRound()
		m.heartbeat()
	}
}

// finishConfirms answers the rounds that a majority has answered. A new leader
// first has to commit an entry of its term: before, it does not know what is
// committed.
func (m *Machine) finishConfirms() {
	if m.committed < m.firstOwn {
		return
	}
	m.confirmDone = max(m.confirmDone, reached(m.members.current().Voters, m.roundOf))
	rest := m.confirms[:0]
	for _, confirm := range m.confirms {
		if confirm.round > m.confirmDone && !m.planted.skipConfirmRound {
			rest = append(rest, confirm)
			continue
		}
		m.emit(Confirmed{Token: confirm.token, Index: m.committed, Term: m.state.Term})
	}
	m.confirms = rest
	if len(rest) > 0 && m.confirmRound == m.confirmDone {
		m.beginRound()
		m.heartbeat()
	}
}

func (m *Machine) roundOf(id ReplicaID) uint64 {
	if id == m.settings.Self {
		return m.confirmRound
	}
	return m.peers[id].round
}
