package replication

import "errors"

// Refusals. Whatever is refused with one of them was not put in the log.
var (
	// ErrNotLeader answers what only the leader does at a replica that does not lead.
	ErrNotLeader = errors.New("this replica does not lead the group")
	// ErrOverloaded answers a proposal while too many bytes wait for a quorum.
	ErrOverloaded = errors.New("too many proposals wait for a quorum")
	// ErrTransferring answers a proposal while leadership is being handed over.
	ErrTransferring = errors.New("leadership is being handed over")
	// ErrTransferTimeout ends a hand-over that the successor did not take.
	ErrTransferTimeout = errors.New("the successor did not take over in time")
	// ErrInvalidSuccessor refuses a hand-over to a replica that is not another voter.
	ErrInvalidSuccessor = errors.New("the successor is not another voter of the group")
	// ErrNotReady refuses a change of members before the leader has committed
	// an entry of its term.
	ErrNotReady = errors.New("the leader has not yet committed an entry of its term")
	// ErrChangePending refuses a change of members while another is not committed.
	ErrChangePending = errors.New("another change of members is not yet committed")
	// ErrInvalidMembers refuses a change of members that is not one allowed step.
	ErrInvalidMembers = errors.New("not an allowed change of one replica")
	// ErrNotCaughtUp refuses to make a learner that lags a voter.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrHalted answers all at a machine that has halted.
	ErrHalted = errors.New("this replica has halted")
	// ErrContradiction halts a machine: a leader's log contradicts what is
	// committed here, so a disk has lost acknowledged entries.
	ErrContradiction = errors.New("the leader contradicts a committed entry")
	// ErrInvalidSettings refuses to start a machine.
	ErrInvalidSettings = errors.New("invalid settings of a replica")
	// ErrCorruptLog refuses to start from a disk that contradicts itself.
	ErrCorruptLog = errors.New("the log on disk contradicts itself")
)
