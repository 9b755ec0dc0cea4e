package replication

// Message is an input of Machine.Step.
type Message interface{ replicationMessage() }

// Tick advances time; the shell sends it several times per heartbeat interval.
type Tick struct{}

// Received carries a message from another replica.
type Received struct{ Message WireMessage }

// Propose asks the leader to append a command; Proposed returns the Token.
type Propose struct {
	Token uint64
	Data  []byte
}

// ProposeMembers asks the leader to change the membership by one replica: to add a
// learner, promote a learner that has caught up, demote a voter to learner, or remove a
// replica. It is answered by Proposed; the change is committed once Apply delivers the
// entry.
type ProposeMembers struct {
	Token   uint64
	Members Members
}

// Persisted reports that all Persist actions up to Sequence are synced to disk.
type Persisted struct{ Sequence uint64 }

// Compact reports that the applied state up to Snapshot.Index is on disk, so that the
// log before it may be dropped. Only Index and Data are read. The machine answers with a
// Persist that carries the complete Snapshot.
type Compact struct{ Snapshot Snapshot }

// SnapshotFetched answers FetchSnapshot: the state is staged on this replica's disk, or
// Err says why it could not be fetched.
type SnapshotFetched struct {
	Index uint64
	Term  uint64
	Err   error
}

// ConfirmLeadership asks the leader to verify that it still leads, by a round of messages to a
// quorum that starts after this request. Linearizable reads and quota grants rely on it;
// no clock or lease is involved. The action that answers it carries the same Token.
type ConfirmLeadership struct{ Token uint64 }

// TransferLeadership asks the leader to transfer leadership, as before a planned
// shutdown. Until it completes, proposals are rejected. It is answered by Transferred.
type TransferLeadership struct {
	Token uint64
	To    ReplicaID // empty: the most up-to-date voter
}

// Inspect asks for the machine's Status; it is answered by Inspected.
type Inspect struct{ Token uint64 }

func (Compact) replicationMessage()            {}
func (ConfirmLeadership) replicationMessage()  {}
func (Inspect) replicationMessage()            {}
func (Persisted) replicationMessage()          {}
func (Propose) replicationMessage()            {}
func (ProposeMembers) replicationMessage()     {}
func (Received) replicationMessage()           {}
func (SnapshotFetched) replicationMessage()    {}
func (Tick) replicationMessage()               {}
func (TransferLeadership) replicationMessage() {}
