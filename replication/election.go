package replication

import "time"

// maxFastPreVotes is the number of pre-vote rounds that are retried after one heartbeat
// interval instead of an election timeout.
const maxFastPreVotes = 10

func (m *Machine) tick() {
	if m.role == RoleLeader {
		m.tickLeader()
		return
	}
	voters := m.members.current().Voters
	onlyVoter := len(voters) == 1 && voters[0] == m.settings.Self
	if m.bugs.electOnce && m.state.Term > 0 {
		return
	}
	if m.isVoter() && (onlyVoter || !m.now.Before(m.electionDeadline)) {
		m.recordExpiry()
		m.campaign(RolePreCandidate, false)
	}
}

// resetElectionTimer draws a random timeout, which makes split votes unlikely.
func (m *Machine) resetElectionTimer() {
	timeout := m.electionTimeout()
	m.electionDeadline = m.now.Add(timeout + time.Duration(m.settings.Random.Int64N(int64(timeout))))
}

// schedulePreVoteRetry shortens the wait for the next pre-vote, as the other replicas
// may not have noticed the loss of the leader yet. After maxFastPreVotes the election
// timeout applies.
func (m *Machine) schedulePreVoteRetry() {
	if m.fastPreVotes < maxFastPreVotes {
		m.fastPreVotes++
		m.electionDeadline = m.now.Add(m.settings.Heartbeat)
	}
}

// campaign requests votes. A pre-vote does not raise the term, so that a partitioned
// replica can't depose a leader that the others still hear.
func (m *Machine) campaign(role Role, transfer bool) {
	m.role, m.leader = role, ""
	m.resetElectionTimer()
	if role == RolePreCandidate {
		m.preVotes = map[ReplicaID]bool{m.settings.Self: true}
		m.schedulePreVoteRetry()
	}
	request := WireMessage{Type: MessagePreVote, Term: m.state.Term + 1, Transfer: transfer}
	if role == RoleCandidate {
		m.enterTerm(m.state.Term+1, m.settings.Self)
		request.Type = MessageVote
		m.votes, m.preVotes = map[ReplicaID]bool{m.settings.Self: true}, nil
		m.timeout.campaignTerm, m.timeout.campaignAt = m.state.Term, m.now
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

// enterTerm moves to a newer term and persists it with the vote, which is empty if none
// is given yet.
func (m *Machine) enterTerm(term uint64, vote ReplicaID) {
	m.state = HardState{Term: term, Vote: vote}
	m.verified, m.acknowledged, m.round = 0, 0, 0
	m.persistState()
}

// countVotes also counts the votes that arrive after the candidate has returned to pre-votes:
// until its term ends, they are as valid as earlier ones.
func (m *Machine) countVotes() {
	voters := m.members.current().Voters
	switch {
	case hasMajority(voters, func(id ReplicaID) bool { return m.votes[id] }):
		m.becomeLeader()
	case hasMajority(voters, func(id ReplicaID) bool { return m.preVotes[id] }):
		m.campaign(RoleCandidate, false)
	}
}

// handleNewerTerm handles the term of a message from a newer term. It returns false if
// the message is to be dropped.
func (m *Machine) handleNewerTerm(w WireMessage) bool {
	switch {
	case w.Type == MessagePreVote:
		return !m.hasRecentLeader()
	case w.Type == MessagePreVoteResponse && w.Granted:
		return true
	case w.Type == MessageVote && !w.Transfer && m.hasRecentLeader():
		return false
	case w.Type == MessageAppend || w.Type == MessageSnapshot:
		m.becomeFollower(w.Term, w.From)
	default:
		m.becomeFollower(w.Term, "")
	}
	return true
}

// handleOlderTerm responds with the current term, so that the sender steps down.
func (m *Machine) handleOlderTerm(w WireMessage) {
	switch w.Type {
	case MessageAppend, MessageSnapshot:
		m.send(WireMessage{Type: MessageAppendResponse, To: w.From})
	case MessagePreVote:
		m.send(WireMessage{Type: MessagePreVoteResponse, To: w.From})
	}
}

// hasRecentLeader reports whether a leader was heard within the minimum election
// timeout. It keeps removed or partitioned replicas from disrupting the group; safety
// does not depend on it.
func (m *Machine) hasRecentLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return m.leader != "" && m.now.Before(m.leaderHeardAt.Add(m.electionTimeout()))
}

// receiveVote responds to a vote or pre-vote request. Learners respond too, as a learner
// may have been made a voter without having received that entry yet.
func (m *Machine) receiveVote(w WireMessage) {
	response := WireMessage{Type: MessageVoteResponse, To: w.From}
	if w.Type == MessagePreVote {
		response.Type = MessagePreVoteResponse
		response.Granted = w.Term > m.state.Term && m.isUpToDate(w) && !m.winsPreVoteTie(w)
		if response.Granted {
			response.Term = w.Term
		}
		m.send(response)
		return
	}
	response.Granted = m.canVoteFor(w.From) && m.isUpToDate(w)
	if response.Granted {
		m.state.Vote = w.From
		m.persistState() // even if already given: the earlier write may not be synced yet
		m.resetElectionTimer()
	}
	m.send(response)
}

// winsPreVoteTie breaks the tie between two replicas with equal logs that request
// pre-votes at the same time. Otherwise both would become candidates and split the vote.
func (m *Machine) winsPreVoteTie(w WireMessage) bool {
	equal := w.LogTerm == m.log.lastTerm() && w.Index == m.log.last()
	return m.role == RolePreCandidate && equal && m.settings.Self < w.From
}

func (m *Machine) canVoteFor(candidate ReplicaID) bool {
	notVoted := m.state.Vote == "" && m.leader == ""
	return notVoted || m.state.Vote == candidate || m.bugs.voteTwice
}

// isUpToDate reports whether the candidate's log is at least as up to date as this one
// (Raft paper, section 5.4.1).
func (m *Machine) isUpToDate(w WireMessage) bool {
	term := m.log.lastTerm()
	return w.LogTerm > term || w.LogTerm == term && w.Index >= m.log.last()
}

func (m *Machine) receiveVoteResponse(w WireMessage) {
	switch {
	case !w.Granted:
		return
	case w.Type == MessageVoteResponse && m.votes != nil && w.Term == m.state.Term:
		m.votes[w.From] = true
	case w.Type == MessagePreVoteResponse && m.preVotes != nil && w.Term == m.state.Term+1:
		m.preVotes[w.From] = true
	default:
		return
	}
	m.countVotes()
}

// becomeFollower steps down to follower; leader is empty if not known.
func (m *Machine) becomeFollower(term uint64, leader ReplicaID) {
	wasLeader := m.role == RoleLeader
	if term > m.state.Term {
		m.enterTerm(term, "")
	}
	m.role, m.leader, m.votes, m.preVotes, m.fastPreVotes = RoleFollower, leader, nil, nil, 0
	m.resetElectionTimer()
	if wasLeader {
		m.clearLeadership()
	}
}

// clearLeadership fails the pending requests to confirm leadership and completes the
// pending transfer.
func (m *Machine) clearLeadership() {
	for _, confirm := range m.pendingConfirms {
		m.emit(LeadershipConfirmed{Token: confirm.token, Leader: m.leader, Err: ErrNotLeader})
	}
	if m.transfer != nil {
		m.emit(Transferred{Token: m.transfer.token})
	}
	m.leadership = leadership{}
}

func (m *Machine) becomeLeader() {
	m.role, m.leader, m.votes, m.preVotes, m.fetching = RoleLeader, m.settings.Self, nil, nil, nil
	m.leadership = leadership{
		peers: map[ReplicaID]*progress{}, termStart: m.log.last() + 1,
		uncommitted:          totalSize(m.log.slice(m.committed+1, m.log.last())),
		committedAtHeartbeat: m.committed,
		nextHeartbeat:        m.now.Add(m.settings.Heartbeat),
		nextQuorumCheck:      m.now.Add(m.electionTimeout()),
	}
	m.updatePeers()
	m.appendEntry(EntryNoop, nil)
}

// tickLeader checks the quorum and sends the heartbeats that are due.
func (m *Machine) tickLeader() {
	if !m.now.Before(m.nextQuorumCheck) {
		m.checkQuorum()
	}
	if m.role != RoleLeader {
		return
	}
	m.observeQuorum()
	m.expireTransfer()
	if !m.now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = m.now.Add(m.settings.Heartbeat)
		m.committedAtHeartbeat = m.committed
		m.retryRound()
	}
	m.sendDueHeartbeats()
}

// checkQuorum steps down if no quorum responded for an election timeout, or if the
// leader's own disk made no progress for as long, since nothing could be applied here.
func (m *Machine) checkQuorum() {
	m.nextQuorumCheck = m.now.Add(m.electionTimeout())
	switch {
	case !m.quorumActive():
		m.recordExpiry()
		m.becomeFollower(m.state.Term, "")
	case m.persists.stalled():
		m.yieldLeadership()
	}
}

// yieldLeadership steps down and makes the most up-to-date voter start an election at
// once.
func (m *Machine) yieldLeadership() {
	if successor := m.bestSuccessor(); successor != "" {
		m.sendAppend(successor, m.peers[successor], true)
		m.send(WireMessage{Type: MessageTimeoutNow, To: successor})
		m.becomeFollower(m.state.Term, "")
	}
}

func (m *Machine) quorumActive() bool {
	active := hasMajority(m.members.current().Voters, func(id ReplicaID) bool {
		return id == m.settings.Self || m.peers[id].active
	})
	for _, peer := range m.peers {
		peer.active, peer.wasInactive = false, !peer.active
	}
	return active
}
