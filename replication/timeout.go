package replication

import "time"

const (
	// maxTimeoutFactor bounds the growth of the election timeout, and with it the time
	// without a leader after a loss.
	maxTimeoutFactor = 8
	// promptTimeouts is the number of election timeouts for which messages must be prompt
	// before the timeout is halved.
	promptTimeouts = 20
)

// adaptiveTimeout is the election timeout as a multiple of Settings.ElectionTimeout. It
// grows each time a message shows that the replica gave up on others too early, or would have
// with an unlucky random timeout, and is halved while they are prompt. A loss alone does not
// raise it.
type adaptiveTimeout struct {
	factor  time.Duration
	expired expiredTerms
	// campaignTerm is the term of the last vote request, sent at campaignAt.
	campaignTerm uint64
	campaignAt   time.Time
	promptSince  time.Time // zero if not prompt
}

// expiredTerms are the last terms in which a timeout ended the role; 0: none that could still
// prove premature.
type expiredTerms struct{ follower, leader uint64 }

// electionTimeout is the current minimum election timeout.
func (m *Machine) electionTimeout() time.Duration {
	return m.timeout.factor * m.settings.ElectionTimeout
}

// recordExpiry records that the election timeout ends the current role.
func (m *Machine) recordExpiry() {
	switch expired := &m.timeout.expired; m.role {
	case RoleFollower:
		expired.follower = m.state.Term
	case RoleLeader:
		expired.leader = m.state.Term
	}
}

// detectPrematureTimeout raises the election timeout if the message is an append of the
// leader that the replica gave up, a response to a leadership that it ended for lack of
// responses, or a response to a vote request that took longer than the timeout.
func (m *Machine) detectPrematureTimeout(w WireMessage) {
	expired := &m.timeout.expired
	switch w.Type {
	case MessageAppend, MessageSnapshot:
		if w.Term == expired.follower && w.Term > 0 {
			expired.follower = 0
			m.raiseTimeout(0)
		}
	case MessageAppendResponse:
		if w.Term <= expired.leader {
			expired.leader = 0
			m.raiseTimeout(0)
		}
	case MessageVoteResponse:
		delay := m.now.Sub(m.timeout.campaignAt)
		if m.role != RoleLeader && w.Term == m.timeout.campaignTerm && delay >= m.electionTimeout() {
			m.raiseTimeout(2 * delay)
		}
	}
}

// raiseTimeout doubles the election timeout at least once and until it has reached the given
// duration.
func (m *Machine) raiseTimeout(to time.Duration) {
	m.timeout.promptSince = time.Time{}
	for raised := false; m.timeout.factor < maxTimeoutFactor && (!raised || m.electionTimeout() < to); raised = true {
		m.timeout.factor *= 2
	}
}

// observeSilence takes the time between two signs of life of the leader or, at the leader, of
// a quorum, and halves a raised timeout once these times have been short for long enough.
func (m *Machine) observeSilence(silence time.Duration) {
	switch timeout := m.electionTimeout(); {
	case m.timeout.factor == 1:
	case silence > max(timeout/4, m.idleHeartbeatInterval()+m.settings.ElectionTimeout/4):
		m.timeout.promptSince = time.Time{}
	case m.timeout.promptSince.IsZero():
		m.timeout.promptSince = m.now
	case m.now.Sub(m.timeout.promptSince) >= promptTimeouts*timeout:
		m.timeout.factor /= 2
		m.timeout.promptSince = m.now
	}
}

// observeQuorum observes the time since a quorum last responded to this leader.
func (m *Machine) observeQuorum() {
	if m.timeout.factor == 1 {
		return
	}
	heardAt := quorumValue(m.members.current().Voters, func(id ReplicaID) uint64 {
		if id == m.settings.Self {
			return uint64(m.now.UnixNano())
		}
		return uint64(m.peers[id].heardAt.UnixNano())
	})
	m.observeSilence(m.now.Sub(time.Unix(0, int64(heardAt))))
}
