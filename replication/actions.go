package replication

// Action is an output of Machine.Step.
type Action interface{ replicationAction() }

// Persist asks the shell to write state to disk and sync it. All parts of one Persist
// must be written atomically. The shell answers with Persisted once it is synced.
type Persist struct {
	Sequence  uint64 // consecutive from 1 for each Machine instance
	HardState *HardState
	Entries   []Entry   // replace the log from the index of the first one on
	Snapshot  *Snapshot // the log up to its index may be dropped
	// Reset replaces the whole log and applied state by the state staged for
	// Snapshot. No Apply follows until this Persist is answered.
	Reset bool
}

// Send sends a message to another replica. Delivery is best effort.
type Send struct{ Message WireMessage }

// Apply delivers committed entries that are on this replica's disk, in order. Each entry
// is delivered once per Machine instance.
type Apply struct{ Entries []Entry }

// FetchSnapshot asks the shell to fetch the state that Snapshot describes from another
// replica and to stage it on disk next to the current one. A later FetchSnapshot cancels
// an earlier one. The staged state takes effect only with a Persist that has Reset set.
type FetchSnapshot struct {
	From     ReplicaID
	Snapshot Snapshot
}

// Proposed answers Propose and ProposeMembers with the position of the entry in the log
// or an error. The command took effect only if Apply delivers an entry with the same
// index and term.
type Proposed struct {
	Token  uint64
	Index  uint64
	Term   uint64
	Leader ReplicaID // the leader, if known, when Err is set
	Err    error     // if set, the command is not in the log and never will be
}

// RoleChanged reports a change of role, term or leader. When the replica stops leading,
// the outcome of its proposals that have not been applied yet is unknown, as a later
// leader may still commit them; the shell answers its clients accordingly.
type RoleChanged struct {
	Leading bool
	Term    uint64
	Leader  ReplicaID // empty when not known
}

// LeadershipConfirmed answers a request to confirm leadership. If Err is nil, this replica was
// leader in Term at some time after the request; a read is linearizable once Index has
// been applied.
type LeadershipConfirmed struct {
	Token  uint64
	Index  uint64
	Term   uint64
	Leader ReplicaID // the leader, if known, when Err is set
	Err    error
}

// Transferred answers TransferLeadership. If Err is nil, this replica is no longer
// leader.
type Transferred struct {
	Token uint64
	Err   error
}

// Halted reports that the machine stopped permanently because continuing could return
// wrong results. The replica must be replaced as after the loss of its disk.
type Halted struct{ Err error }

// Inspected answers Inspect.
type Inspected struct {
	Token  uint64
	Status Status
}

func (Apply) replicationAction()               {}
func (LeadershipConfirmed) replicationAction() {}
func (FetchSnapshot) replicationAction()       {}
func (Halted) replicationAction()              {}
func (Inspected) replicationAction()           {}
func (Persist) replicationAction()             {}
func (Proposed) replicationAction()            {}
func (RoleChanged) replicationAction()         {}
func (Send) replicationAction()                {}
func (Transferred) replicationAction()         {}
