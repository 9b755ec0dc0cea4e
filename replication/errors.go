package replication

import "errors"

// Errors of a Machine. A command rejected with one of them was not appended to the log.
var (
	// ErrNotLeader rejects an operation that only the leader can perform.
	ErrNotLeader = errors.New("this replica is not the leader of the group")
	// ErrOverloaded rejects a proposal while uncommitted entries exceed MaxUncommittedBytes.
	ErrOverloaded = errors.New("too many uncommitted proposals")
	// ErrTransferInProgress rejects a proposal while a leadership transfer is in progress.
	ErrTransferInProgress = errors.New("leadership transfer in progress")
	// ErrTransferTimeout fails a leadership transfer that did not complete within an election timeout.
	ErrTransferTimeout = errors.New("leadership transfer timed out")
	// ErrInvalidSuccessor rejects a leadership transfer to a replica that is not another voter.
	ErrInvalidSuccessor = errors.New("leadership transfer target is not another voter of the group")
	// ErrNotReady rejects a membership change before the leader has committed
	// an entry of its term.
	ErrNotReady = errors.New("the leader has not committed an entry of its term yet")
	// ErrChangePending rejects a membership change while another is uncommitted.
	ErrChangePending = errors.New("another membership change is not committed yet")
	// ErrInvalidMembers rejects a membership change that is not a valid change of exactly one replica.
	ErrInvalidMembers = errors.New("membership change is not a valid change of exactly one replica")
	// ErrNotCaughtUp rejects the promotion of a learner whose log lags behind.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrHalted rejects every request to a halted machine.
	ErrHalted = errors.New("this replica has halted")
	// ErrCommittedConflict halts a machine: the leader's log conflicts with an entry
	// committed here, so some disk has lost acknowledged entries.
	ErrCommittedConflict = errors.New("the leader's log conflicts with a committed entry")
	// ErrInvalidSettings is returned by NewMachine.
	ErrInvalidSettings = errors.New("invalid replica settings")
	// ErrCorruptLog is returned by NewMachine if the recovered state is inconsistent.
	ErrCorruptLog = errors.New("the log on disk is inconsistent")
)
