package replication

import (
	"errors"
	"testing"
	"time"

	"github.com/dykewing/dykewing/sim"
)

func testSettings(self ReplicaID) Settings {
	return Settings{Self: self, Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: randomOf(1)}
}

func entriesOf(terms ...uint64) []Entry {
	var entries []Entry
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 1, Term: term, Data: []byte("0123456789")})
	}
	return entries
}

func TestNewMachineRefuses(t *testing.T) {
	voters := Snapshot{Members: Members{Voters: []ReplicaID{"a"}}}
	noChance := testSettings("a")
	noChance.Random = nil
	cases := map[string]struct {
		settings Settings
		restored Restored
		want     error
	}{
		"no identity":        {testSettings(""), Restored{Snapshot: voters}, ErrInvalidSettings},
		"no chance":          {noChance, Restored{Snapshot: voters}, ErrInvalidSettings},
		"gap":                {testSettings("a"), Restored{HardState: HardState{Term: 9}, Entries: entriesOf(1, 1)[1:]}, ErrCorruptLog},
		"terms fall":         {testSettings("a"), Restored{HardState: HardState{Term: 9}, Entries: entriesOf(2, 1)}, ErrCorruptLog},
		"term of the future": {testSettings("a"), Restored{HardState: HardState{Term: 1}, Entries: entriesOf(2)}, ErrCorruptLog},
		"applied too far":    {testSettings("a"), Restored{HardState: HardState{Term: 1}, Entries: entriesOf(1), Applied: 2}, ErrCorruptLog},
		"members": {testSettings("a"), Restored{HardState: HardState{Term: 1},
			Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: []byte("{")}}}, ErrCorruptLog},
		"whole": {testSettings("a"), Restored{HardState: HardState{Term: 1}, Entries: entriesOf(1), Applied: 1}, nil},
	}
	for name, test := range cases {
		if _, err := NewMachine(test.settings, test.restored); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

func TestGroupOfOneLeadsAtOnce(t *testing.T) {
	machine, err := NewMachine(testSettings("a"), Restored{Snapshot: Snapshot{Members: Members{Voters: []ReplicaID{"a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	machine.Step(sim.Epoch, Tick{})
	machine.Step(sim.Epoch, Propose{Token: 1, Data: []byte("x")})
	if status := machine.Status(); status.Role != RoleLeader || status.Committed != 0 {
		t.Fatalf("before the sync: %+v", status)
	}
	machine.Step(sim.Epoch, Persisted{Sequence: machine.disk.issued})
	if status := machine.Status(); status.Applied != 2 {
		t.Fatalf("after the sync: %+v", status)
	}
}

// TestDurabilityIsNotFooledByTheSameEntry: the first write of an entry is synced
// after the entry was overwritten and written again.
func TestDurabilityIsNotFooledByTheSameEntry(t *testing.T) {
	var disk durability
	first := disk.entries(5, 10)
	second := disk.entries(5, 6)
	third := disk.entries(5, 10)
	for _, step := range []struct{ sequence, index uint64 }{{first, 4}, {second, 4}, {third, 10}, {first, 10}, {third + 1, 10}} {
		disk.complete(step.sequence)
		if disk.index != step.index {
			t.Fatalf("after write %d: %d is taken for durable, want %d", step.sequence, disk.index, step.index)
		}
	}
}

// TestBackOffSkipsTerms counts refusals until two logs that part early meet.
func TestBackOffSkipsTerms(t *testing.T) {
	voters := Snapshot{Members: Members{Voters: []ReplicaID{"a", "b"}}}
	log := func(term uint64) []Entry {
		terms := []uint64{1}
		for range 500 {
			terms = append(terms, term)
		}
		return entriesOf(terms...)
	}
	leader, _ := NewMachine(testSettings("a"), Restored{HardState: HardState{Term: 5}, Snapshot: voters, Entries: log(4)})
	follower, _ := NewMachine(testSettings("b"), Restored{HardState: HardState{Term: 5}, Snapshot: voters, Entries: log(3)})
	machines, refusals := map[ReplicaID]*Machine{"a": leader, "b": follower}, 0
	var carry func(self ReplicaID, actions []Action)
	carry = func(self ReplicaID, actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case Persist:
				carry(self, machines[self].Step(sim.Epoch.Add(time.Second), Persisted{Sequence: action.Sequence}))
			case Send:
				if action.Message.Type == MessageAppendAnswer && !action.Message.Granted {
					refusals++
				}
				carry(action.Message.To, machines[action.Message.To].Step(sim.Epoch.Add(time.Second), Received(action)))
			}
		}
	}
	leader.Step(sim.Epoch, Inspect{})
	carry("a", leader.Step(sim.Epoch.Add(time.Second), Tick{}))
	if status := leader.Status(); status.Committed != status.Last || refusals > 2 {
		t.Fatalf("committed %d of %d after %d refusals", status.Committed, status.Last, refusals)
	}
}

func TestWindowAndBatchesAreBounded(t *testing.T) {
	settings := testSettings("a")
	settings.MaxAppendBytes, settings.MaxInflight, settings.MaxUncommittedBytes = 3*(10+entryOverhead), 4, 100*(10+entryOverhead)
	machine, _ := NewMachine(settings, Restored{Snapshot: Snapshot{Members: Members{Voters: []ReplicaID{"a", "b"}}}})
	machine.becomeLeader()
	machine.peers["b"].replicate(1)
	machine.actions = nil
	appends, refused := 0, 0
	for token := range uint64(200) {
		for _, action := range machine.Step(sim.Epoch, Propose{Token: token, Data: []byte("0123456789")}) {
			switch action := action.(type) {
			case Send:
				appends++
				if size := totalSize(action.Message.Entries); size > settings.MaxAppendBytes {
					t.Fatalf("an append of %d bytes", size)
				}
			case Proposed:
				if errors.Is(action.Err, ErrOverloaded) {
					refused++
				}
			}
		}
	}
	if appends > settings.MaxInflight || refused < 90 {
		t.Fatalf("%d appends without an answer, %d refused", appends, refused)
	}
}
