package replication

import (
	"fmt"
	"time"
)

// Role is the role of a replica in its current term.
type Role string

// The roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate" // requests pre-votes, without raising the term
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Machine is the replication state machine of one replica. It is not safe for concurrent
// use.
type Machine struct {
	settings Settings
	now      time.Time // of the current step
	actions  []Action
	bugs     injectedBugs
	halted   bool

	state     HardState
	log       entryLog
	persists  persistTracker
	members   membersHistory
	snapshot  Snapshot
	committed uint64
	applied   uint64

	role             Role
	leader           ReplicaID
	lastRoleChange   RoleChanged
	electionDeadline time.Time
	leaderHeardAt    time.Time
	votes            map[ReplicaID]bool // of the current term; nil unless it has been requested
	preVotes         map[ReplicaID]bool // nil unless pre-candidate
	fastPreVotes     int                // pre-vote rounds since a leader or newer term was last heard
	timeout          adaptiveTimeout

	// Follower state, within the current term.
	verified     uint64 // last entry known to match the leader's log
	acknowledged uint64 // match index of the last response
	round        uint64 // newest confirmation round seen
	fetching     *pendingFetch

	leadership
}

// leadership is the state that only a leader keeps. It is reset in each term.
type leadership struct {
	peers                map[ReplicaID]*progress // including the leader itself
	peerIDs              []ReplicaID             // keys of peers, sorted
	termStart            uint64                  // index of the first entry of the term
	uncommitted          int                     // size of the uncommitted entries in bytes
	committedAtHeartbeat uint64                  // commit index at the last heartbeat
	nextHeartbeat        time.Time
	nextQuorumCheck      time.Time
	confirmRound         uint64
	confirmedRound       uint64
	pendingConfirms      []pendingConfirm
	transfer             *transfer
}

// injectedBugs are defects that tests enable to verify that their checks detect them.
type injectedBugs struct {
	countUnsynced       bool // acknowledge and count entries that are not synced
	commitWithoutQuorum bool // the leader commits without waiting for followers
	acceptStaleTerm     bool // accept messages of older terms
	voteTwice           bool // vote for several candidates in a term
	commitPriorTerm     bool // commit entries of earlier terms by counting replicas
	skipConfirmRound    bool // confirm leadership without a round
	skipLogMatch        bool // accept entries without checking the previous entry
	applyUncommitted    bool // apply entries once they are on this disk
	electOnce           bool // start no election after the first
}

// NewMachine returns a follower that resumes from the recovered state. It returns
// ErrInvalidSettings or ErrCorruptLog, wrapped, if an argument is invalid.
func NewMachine(settings Settings, restored RecoveredState) (*Machine, error) {
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	if err := checkRestored(restored); err != nil {
		return nil, err
	}
	m := &Machine{
		settings: settings.withDefaults(), role: RoleFollower,
		state: restored.HardState, snapshot: restored.Snapshot,
		timeout: adaptiveTimeout{factor: 1},
	}
	m.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	m.log.append(restored.Entries...)
	m.persists.durableIndex = m.log.last()
	m.members.base = restored.Snapshot.Members
	m.members.addChanges(restored.Entries)
	m.committed = max(restored.Snapshot.Index, restored.Applied)
	m.applied = m.committed
	m.lastRoleChange = RoleChanged{Term: m.state.Term}
	return m, nil
}

func checkSettings(settings Settings) error {
	switch {
	case settings.Self == "":
		return fmt.Errorf("%w: Self is empty", ErrInvalidSettings)
	case settings.Heartbeat <= 0 || settings.ElectionTimeout <= settings.Heartbeat:
		return fmt.Errorf("%w: the heartbeat must be positive and shorter than the election timeout", ErrInvalidSettings)
	case settings.Random == nil:
		return fmt.Errorf("%w: Random is nil", ErrInvalidSettings)
	}
	return nil
}

func checkRestored(restored RecoveredState) error {
	index, term := restored.Snapshot.Index, restored.Snapshot.Term
	for _, entry := range restored.Entries {
		index++
		if entry.Index != index || entry.Term < term {
			return fmt.Errorf("%w: got entry %d of term %d, expected index %d", ErrCorruptLog, entry.Index, entry.Term, index)
		}
		term = entry.Term
	}
	if term > restored.HardState.Term {
		return fmt.Errorf("%w: entry of term %d is newer than the replica's term %d", ErrCorruptLog, term, restored.HardState.Term)
	}
	if restored.Applied > index {
		return fmt.Errorf("%w: applied index %d is beyond the last entry %d", ErrCorruptLog, restored.Applied, index)
	}
	return checkMembersEntries(restored.Entries)
}

// Step handles one message and returns the resulting actions, which the caller must
// carry out in order. It must not be called concurrently.
func (m *Machine) Step(now time.Time, message Message) []Action {
	m.now = now
	if m.electionDeadline.IsZero() {
		m.resetElectionTimer()
	}
	m.dispatch(message)
	m.emitRoleChange()
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) dispatch(message Message) {
	if m.halted {
		m.rejectHalted(message)
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
		m.handlePersisted(message)
	case Compact:
		m.compact(message.Snapshot)
	case SnapshotFetched:
		m.snapshotFetched(message)
	case ConfirmLeadership:
		m.confirmLeadership(message)
	case TransferLeadership:
		m.transferLeadership(message)
	case Inspect:
		m.emit(Inspected{Token: message.Token, Status: m.Status()})
	}
}

// halt stops the machine permanently.
func (m *Machine) halt(err error) {
	m.becomeFollower(m.state.Term, "")
	m.halted = true
	m.emit(Halted{Err: err})
}

// rejectHalted answers a request to a halted machine.
func (m *Machine) rejectHalted(message Message) {
	switch message := message.(type) {
	case Propose:
		m.emit(Proposed{Token: message.Token, Err: ErrHalted})
	case ProposeMembers:
		m.emit(Proposed{Token: message.Token, Err: ErrHalted})
	case ConfirmLeadership:
		m.emit(LeadershipConfirmed{Token: message.Token, Err: ErrHalted})
	case TransferLeadership:
		m.emit(Transferred{Token: message.Token, Err: ErrHalted})
	case Inspect:
		m.emit(Inspected{Token: message.Token, Status: m.Status()})
	}
}

// receive drops invalid messages, handles differing terms and dispatches the rest.
func (m *Machine) receive(w WireMessage) {
	if w.Group != m.settings.Group || w.To != m.settings.Self || !wellFormed(w) {
		return
	}
	m.detectPrematureTimeout(w)
	if w.Term > m.state.Term && !m.handleNewerTerm(w) {
		return
	}
	if w.Term < m.state.Term && !m.bugs.acceptStaleTerm {
		m.handleOlderTerm(w)
		return
	}
	m.handle(w)
}

// wellFormed reports whether the entries of a message have consecutive indexes and valid
// terms.
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
	case MessagePreVoteResponse, MessageVoteResponse:
		m.receiveVoteResponse(w)
	case MessageAppend:
		m.receiveAppend(w)
	case MessageAppendResponse:
		m.receiveAppendResponse(w)
	case MessageSnapshot:
		m.receiveSnapshot(w)
	case MessageSnapshotResponse:
		m.receiveSnapshotResponse(w)
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

// persistState emits a Persist of the current term and vote.
func (m *Machine) persistState() {
	state := m.state
	m.emit(Persist{Sequence: m.persists.nextSequence(), HardState: &state})
}

// emitRoleChange emits RoleChanged if role, term or leader changed since the last one.
func (m *Machine) emitRoleChange() {
	now := RoleChanged{Leading: m.role == RoleLeader, Term: m.state.Term, Leader: m.leader}
	if now != m.lastRoleChange {
		m.lastRoleChange = now
		m.emit(now)
	}
}

func (m *Machine) isVoter() bool { return m.members.current().isVoter(m.settings.Self) }
