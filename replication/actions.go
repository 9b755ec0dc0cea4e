package replication

// Action is what a Machine asks for.
type Action interface{ replicationAction() }

// Persist puts state on disk and syncs it; the parts of one Persist go together
// or not at all. The shell answers with Persisted once it is synced.
type Persist struct {
	Sequence  uint64 // from 1 in each life of a Machine, without gaps
	HardState *HardState
	Entries   []Entry   // replace all from the first one's index on
	Snapshot  *Snapshot // the log up to its index may go
	// Reset: all of the log goes, and the state that was staged for Snapshot
	// comes in force. No Apply follows until this Persist is answered.
	Reset bool
}

// Send sends to another replica; loss is allowed.
type Send struct{ Message WireMessage }

// Apply hands over committed entries that are on this replica's disk, each once
// in a life of the Machine and in order.
type Apply struct{ Entries []Entry }

// FetchSnapshot asks the shell to fetch from another replica the state that
// Snapshot describes and to stage it on disk beside the present one. A later
// FetchSnapshot cancels an earlier. What was staged counts only once a Persist
// with Reset names it.
type FetchSnapshot struct {
	From     ReplicaID
	Snapshot Snapshot
}

// Proposed answers Propose: where the command stands in the log, or why not.
// The command took effect only if an Apply brings the same index and term.
type Proposed struct {
	Token  uint64
	Index  uint64
	Term   uint64
	Leader ReplicaID // known leader when Err is set
	Err    error     // the command is not in the log and never will be
}

// RoleChanged tells that leadership changed here or elsewhere. Once it no longer
// leads, the shell answers what it proposed and has not seen applied: the
// outcome is unknown, as a later leader may still commit it.
type RoleChanged struct {
	Leading bool
	Term    uint64
	Leader  ReplicaID // empty when not known
}

// Confirmed answers Confirm. Without Err this replica led, in Term, at a moment
// after the Confirm; a read is linearisable once Index is applied.
type Confirmed struct {
	Token  uint64
	Index  uint64
	Term   uint64
	Leader ReplicaID // known leader when Err is set
	Err    error
}

// Transferred answers TransferLeadership. Without Err this replica no longer
// leads.
type Transferred struct {
	Token uint64
	Err   error
}

// Halted says that the machine has stopped for good, as to go on could serve what
// is false. The replica is to be replaced like one that has lost its disk.
type Halted struct{ Err error }

// Inspected answers Inspect.
type Inspected struct {
	Token  uint64
	Status Status
}

func (Apply) replicationAction()         {}
func (Confirmed) replicationAction()     {}
func (FetchSnapshot) replicationAction() {}
func (Halted) replicationAction()        {}
func (Inspected) replicationAction()     {}
func (Persist) replicationAction()       {}
func (Proposed) replicationAction()      {}
func (RoleChanged) replicationAction()   {}
func (Send) replicationAction()          {}
func (Transferred) replicationAction()   {}
