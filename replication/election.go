package replication

import "time"

// quickPreVotes is how many pre-votes follow one another a heartbeat apart.
const quickPreVotes = 10

// tick lets time decide whether to lead on or to ask for votes.
func (m *Machine) tick() {
	if m.role == RoleLeader {
		m.tickLeader()
		return
	}
	voters := m.members.current().Voters
	alone := len(voters) == 1 && voters[0] == m.settings.Self
	if m.planted.electOnce && m.state.Term > 0 {
		return
	}
	if m.isVoter() && (alone || !m.now.Before(m.electionDue)) {
		m.campaign(RolePreCandidate, false)
	}
}

// resetElection draws a new wait, so that candidates seldom collide.
func (m *Machine) resetElection() {
	timeout := m.settings.ElectionTimeout
	m.electionDue = m.now.Add(timeout + time.Duration(m.settings.Random.Int64N(int64(timeout))))
}

// retryPreVote asks again soon: the others may just not have missed the leader
// yet. A replica that asks in vain goes over to the long wait.
func (m *Machine) retryPreVote() {
	if m.preVotes < quickPreVotes {
		m.preVotes++
		m.electionDue = m.now.Add(m.settings.Heartbeat)
	}
}

// campaign asks for votes, first without raising the term: a replica that was
// cut off must not depose a leader that the others still hear.
func (m *Machine) campaign(role Role, transfer bool) {
	m.role, m.leader = role, ""
	m.votes = map[ReplicaID]bool{m.settings.Self: true}
	m.resetElection()
	if role == RolePreCandidate {
		m.retryPreVote()
	}
	request := WireMessage{Type: MessagePreVote, Term: m.state.Term + 1, Transfer: transfer}
	if role == RoleCandidate {
		m.enterTerm(m.state.Term+1, m.settings.Self)
		request.Type = MessageVote
	}
	request.Index, request.LogTerm = m.log.last(), m.log.lastTerm()
	for _, voter := range m.members.current().Voters {
		if voter != m.settings.Self {
			request.To = voter
			m.send(request)
		}
	}
	m.countVotes()
}

// enterTerm moves to a newer term with the vote given, or none yet.
func (m *Machine) enterTerm(term uint64, vote ReplicaID) {
	m.state = HardState{Term: term, Vote: vote}
	m.verified, m.answered, m.round = 0, 0, 0
	m.persistState()
}

func (m *Machine) countVotes() {
	won := majority(m.members.current().Voters, func(id ReplicaID) bool { return m.votes[id] })
	switch {
	case !won:
	case m.role == RolePreCandidate:
		m.campaign(RoleCandidate, false)
	case m.role == RoleCandidate:
		m.becomeLeader()
	}
}

// newerTerm handles a message of a newer term; false drops it.
func (m *Machine) newerTerm(w WireMessage) bool {
	switch {
	case w.Type == MessagePreVote:
		return !m.hearsLeader()
	case w.Type == MessagePreVoteAnswer && w.Granted:
		return true
	case w.Type == MessageVote && !w.Transfer && m.hearsLeader():
		return false
	case w.Type == MessageAppend || w.Type == MessageSnapshot:
		m.becomeFollower(w.Term, w.From)
	default:
		m.becomeFollower(w.Term, "")
	}
	return true
}

// olderTerm lets the sender know that its term is over.
func (m *Machine) olderTerm(w WireMessage) {
	switch w.Type {
	case MessageAppend, MessageSnapshot:
		m.send(WireMessage{Type: MessageAppendAnswer, To: w.From})
	case MessagePreVote:
		m.send(WireMessage{Type: MessagePreVoteAnswer, To: w.From})
	}
}

// hearsLeader tells whether a leader was heard within the shortest wait. It
// keeps a removed or cut-off replica from disturbing; safety does not rest on
// it.
func (m *Machine) hearsLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return m.leader != "" && m.now.Before(m.heardLeader.Add(m.settings.ElectionTimeout))
}

// receiveVote answers a request for a vote. A learner answers too: it may be a
// voter already and not know it.
func (m *Machine) receiveVote(w WireMessage) {
	answer := WireMessage{Type: MessageVoteAnswer, To: w.From}
	if w.Type == MessagePreVote {
		answer.Type = MessagePreVoteAnswer
		answer.Granted = w.Term > m.state.Term && m.upToDate(w) && !m.precedes(w)
		if answer.Granted {
			answer.Term = w.Term
		}
		m.send(answer)
		return
	}
	answer.Granted = m.mayVoteFor(w.From) && m.upToDate(w)
	if answer.Granted {
		m.state.Vote = w.From
		m.persistState() // even when given before: it may not be synced yet
		m.resetElection()
	}
	m.send(answer)
}

// precedes settles between two replicas with equal logs that ask for pre-votes
// at the same time: else each would go on to vote for itself.
func (m *Machine) precedes(w WireMessage) bool {
	equal := w.LogTerm == m.log.lastTerm() && w.Index == m.log.last()
	return m.role == RolePreCandidate && equal && m.settings.Self < w.From
}

func (m *Machine) mayVoteFor(candidate ReplicaID) bool {
	free := m.state.Vote == "" && m.leader == ""
	return free || m.state.Vote == candidate || m.planted.voteTwice
}

// upToDate tells whether the candidate's log holds all that this one may have
// helped to commit.
func (m *Machine) upToDate(w WireMessage) bool {
	term := m.log.lastTerm()
	return w.LogTerm > term || w.LogTerm == term && w.Index >= m.log.last()
}

func (m *Machine) receiveVoteAnswer(w WireMessage) {
	asked := w.Type == MessageVoteAnswer && m.role == RoleCandidate && w.Term == m.state.Term ||
		w.Type == MessagePreVoteAnswer && m.role == RolePreCandidate && w.Term == m.state.Term+1
	if asked && w.Granted {
		m.votes[w.From] = true
		m.countVotes()
	}
}

// becomeFollower gives up what the replica did before; leader is empty when not
// known.
func (m *Machine) becomeFollower(term uint64, leader ReplicaID) {
	led := m.role == RoleLeader
	if term > m.state.Term {
		m.enterTerm(term, "")
	}
	m.role, m.leader, m.votes, m.preVotes = RoleFollower, leader, nil, 0
	m.resetElection()
	if led {
		m.endLeadership()
	}
}

// endLeadership gives what waits for the leader its final answer.
func (m *Machine) endLeadership() {
	for _, confirm := range m.confirms {
		m.emit(Confirmed{Token: confirm.token, Leader: m.leader, Err: ErrNotLeader})
	}
	if m.transfer != nil {
		m.emit(Transferred{Token: m.transfer.token})
	}
	m.leadership = leadership{}
}

func (m *Machine) becomeLeader() {
	m.role, m.leader, m.votes, m.fetching = RoleLeader, m.settings.Self, nil, nil
	m.leadership = leadership{
		peers: map[ReplicaID]*progress{}, firstOwn: m.log.last() + 1,
		uncommitted:     totalSize(m.log.between(m.committed+1, m.log.last())),
		committedBefore: m.committed,
		heartbeatDue:    m.now.Add(m.settings.Heartbeat),
		quorumDue:       m.now.Add(m.settings.ElectionTimeout),
	}
	m.membersChanged()
	m.appendEntry(EntryNoop, nil)
}

// tickLeader sends heartbeats and gives up a leadership that no quorum answers.
func (m *Machine) tickLeader() {
	if !m.now.Before(m.quorumDue) {
		m.checkLeadership()
	}
	if m.role != RoleLeader {
		return
	}
	m.tickTransfer()
	if !m.now.Before(m.heartbeatDue) {
		m.heartbeatDue = m.now.Add(m.settings.Heartbeat)
		m.committedBefore = m.committed
		m.repeatRound()
	}
	m.heartbeatDueOnes()
}

// checkLeadership gives way when no quorum was heard for an election timeout or
// the own disk stood still so long: nothing would be applied here.
func (m *Machine) checkLeadership() {
	m.quorumDue = m.now.Add(m.settings.ElectionTimeout)
	switch {
	case !m.quorumHeard():
		m.becomeFollower(m.state.Term, "")
	case m.disk.stalled():
		m.stepAside()
	}
}

// stepAside gives up leading and lets the best successor begin at once.
func (m *Machine) stepAside() {
	if successor := m.bestSuccessor(); successor != "" {
		m.sendAppend(successor, m.peers[successor], true)
		m.send(WireMessage{Type: MessageTimeoutNow, To: successor})
		m.becomeFollower(m.state.Term, "")
	}
}

func (m *Machine) quorumHeard() bool {
	heard := majority(m.members.current().Voters, func(id ReplicaID) bool {
		return id == m.settings.Self || m.peers[id].active
	})
	for _, peer := range m.peers {
		peer.active, peer.silent = false, !peer.active
	}
	return heard
}
