package replication

import "time"

// transfer is a leadership transfer in progress.
type transfer struct {
	token    uint64
	to       ReplicaID
	deadline time.Time // of the transfer
}

// transferLeadership stops accepting proposals, brings the successor up to date and
// makes it start an election.
func (m *Machine) transferLeadership(request TransferLeadership) {
	if err := m.checkTransfer(&request); err != nil {
		m.emit(Transferred{Token: request.Token, Err: err})
		return
	}
	m.transfer = &transfer{token: request.Token, to: request.To, deadline: m.now.Add(m.settings.ElectionTimeout)}
	m.fillWindow(request.To)
	m.continueTransfer(request.To)
}

func (m *Machine) checkTransfer(request *TransferLeadership) error {
	if err := m.checkCanPropose(); err != nil {
		return err
	}
	if request.To == "" {
		request.To = m.bestSuccessor()
	}
	if request.To == m.settings.Self || !m.members.current().isVoter(request.To) {
		return ErrInvalidSuccessor
	}
	return nil
}

// bestSuccessor returns the most up-to-date other voter, or "" if there is none.
func (m *Machine) bestSuccessor() ReplicaID {
	var best ReplicaID
	for _, id := range m.members.current().Voters {
		if id == m.settings.Self {
			continue
		}
		if best == "" || m.peers[id].match > m.peers[best].match {
			best = id
		}
	}
	return best
}

// continueTransfer sends TimeoutNow once the successor has the whole log.
func (m *Machine) continueTransfer(id ReplicaID) {
	if m.transfer == nil || m.transfer.to != id || m.peers[id] == nil {
		return
	}
	if m.peers[id].match == m.log.last() {
		m.send(WireMessage{Type: MessageTimeoutNow, To: id})
	}
}

// expireTransfer fails a transfer that is past its deadline.
func (m *Machine) expireTransfer() {
	if m.transfer == nil || m.now.Before(m.transfer.deadline) {
		return
	}
	m.emit(Transferred{Token: m.transfer.token, Err: ErrTransferTimeout})
	m.transfer = nil
}

// receiveTimeoutNow starts an election at the leader's request, without a pre-vote.
func (m *Machine) receiveTimeoutNow(w WireMessage) {
	if m.role == RoleFollower && m.leader == w.From && m.isVoter() {
		m.campaign(RoleCandidate, true)
	}
}
