package replication

import (
	"fmt"
	"time"
)

// Role is what a replica does in its term.
type Role string

// The roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate" // asks whether it would be elected
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Machine is the replication state machine of one replica.
type Machine struct {
	settings Settings
	now      time.Time // of the present step
	actions  []Action
	planted  plantedFaults
	halted   bool

	state     HardState
	log       entryLog
	disk      durability
	members   membership
	snapshot  Snapshot // newest that replaces the start of the log
	committed uint64
	applied   uint64

	role        Role
	leader      ReplicaID
	announced   RoleChanged
	electionDue time.Time
	heardLeader time.Time
	votes       map[ReplicaID]bool
	preVotes    int // asked for since a leader or a newer term was heard

	// As follower, within the present term.
	verified uint64 // last entry known equal to the leader's
	answered uint64 // match of the last answer
	round    uint64 // newest round seen
	fetching *fetch

	leadership
}

// leadership is what only a leader keeps; it is fresh in each term.
type leadership struct {
	peers           map[ReplicaID]*progress // the leader too
	order           []ReplicaID             // of peers, sorted
	firstOwn        uint64                  // index of the term's first entry
	uncommitted     int                     // bytes
	committedBefore uint64                  // at the last heartbeat
	heartbeatDue    time.Time
	quorumDue       time.Time
	confirmRound    uint64
	confirmDone     uint64
	confirms        []confirmation
	transfer        *transfer
}

// plantedFaults are defects that tests switch on to show that their checks
// catch them.
type plantedFaults struct {
	countUnsyncedSelf bool // ack-before-quorum: the leader counts what is not on its disk, and followers acknowledge it
	commitAlone       bool // ack-before-quorum: the leader commits what only it has
	ignoreTerm        bool // messages of older terms are taken
	voteTwice         bool // a vote does not bind
	commitOldTerm     bool // entries of older terms are committed by count
	skipConfirmRound  bool // Confirm is answered without a round
	skipMatch         bool // entries are taken without comparing what precedes them
	applyUncommitted  bool // what is on the own disk is applied at once
	electOnce         bool // no election follows the first
}

// NewMachine continues from what the disk held.
func NewMachine(settings Settings, restored Restored) (*Machine, error) {
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	if err := checkRestored(restored); err != nil {
		return nil, err
	}
	m := &Machine{
		settings: settings.withDefaults(), role: RoleFollower,
		state: restored.HardState, snapshot: restored.Snapshot,
	}
	m.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	m.log.append(restored.Entries...)
	m.disk.index = m.log.last()
	m.members.base = restored.Snapshot.Members
	m.members.add(restored.Entries)
	m.committed = max(restored.Snapshot.Index, restored.Applied)
	m.applied = m.committed
	m.announced = RoleChanged{Term: m.state.Term}
	return m, nil
}

func checkSettings(settings Settings) error {
	switch {
	case settings.Self == "":
		return fmt.Errorf("%w: no identity", ErrInvalidSettings)
	case settings.Heartbeat <= 0 || settings.ElectionTimeout <= settings.Heartbeat:
		return fmt.Errorf("%w: the election timeout must be longer than the heartbeat", ErrInvalidSettings)
	case settings.Random == nil:
		return fmt.Errorf("%w: no source of chance", ErrInvalidSettings)
	}
	return nil
}

func checkRestored(restored Restored) error {
	index, term := restored.Snapshot.Index, restored.Snapshot.Term
	for _, entry := range restored.Entries {
		index++
		if entry.Index != index || entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d where %d was due", ErrCorruptLog, entry.Index, entry.Term, index)
		}
		term = entry.Term
	}
	if term > restored.HardState.Term {
		return fmt.Errorf("%w: an entry of term %d, later than the replica's term %d", ErrCorruptLog, term, restored.HardState.Term)
	}
	if restored.Applied > index {
		return fmt.Errorf("%w: applied up to %d, but it ends at %d", ErrCorruptLog, restored.Applied, index)
	}
	return decodable(restored.Entries)
}

// Step takes one message.
func (m *Machine) Step(now time.Time, message Message) []Action {
	m.now = now
	if m.electionDue.IsZero() {
		m.resetElection()
	}
	m.dispatch(message)
	m.announce()
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) dispatch(message Message) {
	if m.halted {
		m.refuse(message)
		return
	}
	switch message := message.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(message.Message)
	case Propose:
		m.propose(message)
	case ProposeMembers:
		m.proposeMembers(message)
	case Persisted:
		m.persisted(message)
	case Compact:
		m.compact(message.Snapshot)
	case SnapshotFetched:
		m.snapshotFetched(message)
	case Confirm:
		m.confirm(message)
	case TransferLeadership:
		m.transferLeadership(message)
	case Inspect:
		m.emit(Inspected{Token: message.Token, Status: m.Status()})
	}
}

// halt stops the machine for good.
func (m *Machine) halt(err error) {
	m.becomeFollower(m.state.Term, "")
	m.halted = true
	m.emit(Halted{Err: err})
}

// refuse answers at a machine that has halted.
func (m *Machine) refuse(message Message) {
	switch message := message.(type) {
	case Propose:
		m.emit(Proposed{Token: message.Token, Err: ErrHalted})
	case ProposeMembers:
		m.emit(Proposed{Token: message.Token, Err: ErrHalted})
	case Confirm:
		m.emit(Confirmed{Token: message.Token, Err: ErrHalted})
	case TransferLeadership:
		m.emit(Transferred{Token: message.Token, Err: ErrHalted})
	case Inspect:
		m.emit(Inspected{Token: message.Token, Status: m.Status()})
	}
}

// receive lets through what fits the present term.
func (m *Machine) receive(w WireMessage) {
	if w.Group != m.settings.Group || w.To != m.settings.Self || !wellFormed(w) {
		return
	}
	if w.Term > m.state.Term && !m.newerTerm(w) {
		return
	}
	if w.Term < m.state.Term && !m.planted.ignoreTerm {
		m.olderTerm(w)
		return
	}
	m.handle(w)
}

// wellFormed tells whether the entries of a message follow one another.
func wellFormed(w WireMessage) bool {
	term := w.LogTerm
	for i, entry := range w.Entries {
		if entry.Index != w.Index+uint64(i)+1 || entry.Term < term || entry.Term > w.Term {
			return false
		}
		term = entry.Term
	}
	return true
}

func (m *Machine) handle(w WireMessage) {
	switch w.Type {
	case MessagePreVote, MessageVote:
		m.receiveVote(w)
	case MessagePreVoteAnswer, MessageVoteAnswer:
		m.receiveVoteAnswer(w)
	case MessageAppend:
		m.receiveAppend(w)
	case MessageAppendAnswer:
		m.receiveAppendAnswer(w)
	case MessageSnapshot:
		m.receiveSnapshot(w)
	case MessageSnapshotAnswer:
		m.receiveSnapshotAnswer(w)
	case MessageTimeoutNow:
		m.receiveTimeoutNow(w)
	}
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) send(w WireMessage) {
	w.Group, w.From = m.settings.Group, m.settings.Self
	if w.Term == 0 {
		w.Term = m.state.Term
	}
	m.emit(Send{Message: w})
}

// persistState asks for term and vote to be put on disk.
func (m *Machine) persistState() {
	state := m.state
	m.emit(Persist{Sequence: m.disk.next(), HardState: &state})
}

// announce tells the shell when the leadership it knows has changed.
func (m *Machine) announce() {
	now := RoleChanged{Leading: m.role == RoleLeader, Term: m.state.Term, Leader: m.leader}
	if now != m.announced {
		m.announced = now
		m.emit(now)
	}
}

func (m *Machine) isVoter() bool { return m.members.current().votes(m.settings.Self) }
