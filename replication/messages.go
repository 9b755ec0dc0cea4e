package replication

// Message is what a Machine is stepped with.
type Message interface{ replicationMessage() }

// Tick lets time pass; the shell sends it several times a heartbeat.
type Tick struct{}

// Received carries a message from another replica.
type Received struct{ Message WireMessage }

// Propose asks the leader to append a command; Token comes back in Proposed.
type Propose struct {
	Token uint64
	Data  []byte
}

// ProposeMembers asks the leader to change the group by one replica: to add a
// learner, to make a learner that has caught up a voter, to make a voter a
// learner, or to remove one. Proposed answers it; the change is done once Apply
// brings the entry.
type ProposeMembers struct {
	Token   uint64
	Members Members
}

// Persisted says that all Persist actions up to Sequence are on disk.
type Persisted struct{ Sequence uint64 }

// Compact says that the applied state up to Snapshot.Index is on disk, so that
// the log before it may go. Only Index and Data are read. The machine answers
// with a Persist that carries the whole Snapshot.
type Compact struct{ Snapshot Snapshot }

// SnapshotFetched answers FetchSnapshot: the bulk is staged on this replica's
// disk, or could not be had.
type SnapshotFetched struct {
	Index uint64
	Term  uint64
	Err   error
}

// Confirm asks the leader to make sure, by a round with a quorum that begins
// after this message, that it still leads. It is what linearisable reads and
// grants of quota rest on; no clock or lease does.
type Confirm struct{ Token uint64 }

// TransferLeadership asks the leader to hand over, as before a planned stop.
// Until it ends, proposals are refused with ErrTransferring.
type TransferLeadership struct {
	Token uint64
	To    ReplicaID // empty: the voter that has most of the log
}

// Inspect asks for the machine's Status.
type Inspect struct{ Token uint64 }

func (Compact) replicationMessage()            {}
func (Confirm) replicationMessage()            {}
func (Inspect) replicationMessage()            {}
func (Persisted) replicationMessage()          {}
func (Propose) replicationMessage()            {}
func (ProposeMembers) replicationMessage()     {}
func (Received) replicationMessage()           {}
func (SnapshotFetched) replicationMessage()    {}
func (Tick) replicationMessage()               {}
func (TransferLeadership) replicationMessage() {}
