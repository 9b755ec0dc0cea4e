package replication

import (
	"errors"
	"slices"
	"time"
)

// ErrNotLeader answers a proposal at a replica that does not lead.
var ErrNotLeader = errors.New("this replica does not lead the group")

// ErrUnsupported answers what the machine can't do yet.
var ErrUnsupported = errors.New("groups of several replicas are not supported yet")

// Machine is the replication state machine of one replica.
type Machine struct {
	settings  Settings
	state     HardState
	members   Members
	last      uint64 // index of the last entry
	committed uint64
	leading   bool
	pending   []Entry // appended, not yet applied
}

// NewMachine continues from what the disk held.
func NewMachine(settings Settings, restored Restored) (*Machine, error) {
	members := restored.Snapshot.Members
	if len(members.Voters) != 1 || !slices.Contains(members.Voters, settings.Self) {
		return nil, ErrUnsupported
	}
	machine := &Machine{settings: settings, state: restored.HardState, members: members}
	machine.committed = restored.Snapshot.Index
	machine.last = restored.Snapshot.Index + uint64(len(restored.Entries))
	machine.pending = restored.Entries
	return machine, nil
}

// Step takes one message.
func (m *Machine) Step(_ time.Time, message Message) []Action {
	switch message := message.(type) {
	case Tick:
		return m.lead()
	case Propose:
		return m.propose(message)
	case Persisted:
		return m.commit(message)
	case Confirm:
		return m.confirm(message)
	}
	return nil
}

// lead takes the leadership of a group of one.
func (m *Machine) lead() []Action {
	if m.leading {
		return nil
	}
	m.leading = true
	m.state = HardState{Term: m.state.Term + 1, Vote: m.settings.Self}
	state := m.state
	entry := m.append(EntryNoop, nil)
	return []Action{
		Persist{HardState: &state, Entries: []Entry{entry}},
		RoleChanged{Leading: true, Term: m.state.Term, Leader: m.settings.Self},
	}
}

func (m *Machine) append(kind EntryKind, data []byte) Entry {
	m.last++
	entry := Entry{Index: m.last, Term: m.state.Term, Kind: kind, Data: data}
	m.pending = append(m.pending, entry)
	return entry
}

// confirm needs no round in a group of one.
func (m *Machine) confirm(confirm Confirm) []Action {
	if !m.leading {
		return []Action{Confirmed{Token: confirm.Token, Err: ErrNotLeader}}
	}
	return []Action{Confirmed{Token: confirm.Token, Index: m.committed, Term: m.state.Term}}
}

func (m *Machine) propose(proposal Propose) []Action {
	if !m.leading {
		return []Action{Proposed{Token: proposal.Token, Err: ErrNotLeader}}
	}
	entry := m.append(EntryCommand, proposal.Data)
	return []Action{
		Persist{Entries: []Entry{entry}},
		Proposed{Token: proposal.Token, Index: entry.Index, Term: entry.Term},
	}
}

func (m *Machine) commit(persisted Persisted) []Action {
	if persisted.Term != m.state.Term || persisted.Index <= m.committed {
		return nil
	}
	m.committed = persisted.Index
	var ready []Entry
	for len(m.pending) > 0 && m.pending[0].Index <= m.committed {
		ready = append(ready, m.pending[0])
		m.pending = m.pending[1:]
	}
	return []Action{Apply{Entries: ready}}
}
