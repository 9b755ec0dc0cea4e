package replication

// Status is the state of a Machine for operators and metrics.
type Status struct {
	Role      Role
	Term      uint64
	Leader    ReplicaID // empty when not known
	First     uint64    // first entry still in the log
	Last      uint64    // last entry of the log
	Durable   uint64    // last entry on this replica's disk
	Committed uint64
	Applied   uint64
	Snapshot  uint64 // index of the newest snapshot
	Members   Members
	Halted    bool                   // stopped permanently
	Progress  map[ReplicaID]Progress // nil unless leader
}

// Progress is the leader's view of another replica.
type Progress struct {
	State  ProgressState
	Match  uint64 // last entry known to be on its disk
	Next   uint64 // next entry to send
	Active bool   // responded since the last quorum check
}

// Status returns the current state. It must not be called concurrently with Step; use
// Inspect to request it by message.
func (m *Machine) Status() Status {
	status := Status{
		Role: m.role, Term: m.state.Term, Leader: m.leader,
		First: m.log.offset + 1, Last: m.log.last(), Durable: m.persists.durableIndex,
		Committed: m.committed, Applied: m.applied, Snapshot: m.snapshot.Index,
		Members: m.members.current(), Halted: m.halted,
	}
	if m.role != RoleLeader {
		return status
	}
	status.Progress = map[ReplicaID]Progress{}
	for id, peer := range m.peers {
		if id != m.settings.Self {
			status.Progress[id] = Progress{State: peer.state, Match: peer.match, Next: peer.next, Active: peer.active}
		}
	}
	return status
}
