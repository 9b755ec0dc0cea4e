package replication

import "time"

// transfer is a hand-over of leadership under way.
type transfer struct {
	token uint64
	to    ReplicaID
	due   time.Time // gives up then
}

// transferLeadership stops proposals, brings the successor up to date and lets
// it ask for votes at once.
func (m *Machine) transferLeadership(request TransferLeadership) {
	if err := m.checkTransfer(&request); err != nil {
		m.emit(Transferred{Token: request.Token, Err: err})
		return
	}
	m.transfer = &transfer{token: request.Token, to: request.To, due: m.now.Add(m.settings.ElectionTimeout)}
	m.replicate(request.To)
	m.continueTransfer(request.To)
}

func (m *Machine) checkTransfer(request *TransferLeadership) error {
	if err := m.mayPropose(); err != nil {
		return err
	}
	if request.To == "" {
		request.To = m.bestSuccessor()
	}
	if request.To == m.settings.Self || !m.members.current().votes(request.To) {
		return ErrInvalidSuccessor
	}
	return nil
}

// bestSuccessor is the other voter that has most of the log.
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

// continueTransfer lets the successor begin once it has the whole log.
func (m *Machine) continueTransfer(id ReplicaID) {
	if m.transfer == nil || m.transfer.to != id || m.peers[id] == nil {
		return
	}
	if m.peers[id].match == m.log.last() {
		m.send(WireMessage{Type: MessageTimeoutNow, To: id})
	}
}

// tickTransfer gives a hand-over up that takes too long.
func (m *Machine) tickTransfer() {
	if m.transfer == nil || m.now.Before(m.transfer.due) {
		return
	}
	m.emit(Transferred{Token: m.transfer.token, Err: ErrTransferTimeout})
	m.transfer = nil
}

// receiveTimeoutNow asks for votes at the leader's wish, without a pre-vote.
func (m *Machine) receiveTimeoutNow(w WireMessage) {
	if m.role == RoleFollower && m.leader == w.From && m.isVoter() {
		m.campaign(RoleCandidate, true)
	}
}
