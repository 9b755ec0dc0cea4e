package replication

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/sim"
)

func testSettings(self ReplicaID) Settings {
	return Settings{Self: self, Heartbeat: testHeartbeat, ElectionTimeout: testElection, Random: newRandom(1)}
}

func entriesOf(terms ...uint64) []Entry {
	var entries []Entry
	for i, term := range terms {
		entries = append(entries, Entry{Index: uint64(i) + 1, Term: term, Data: []byte("0123456789")})
	}
	return entries
}

func TestNewMachineRejectsInvalidState(t *testing.T) {
	voters := Snapshot{Members: Members{Voters: []ReplicaID{"a"}}}
	noRandom := testSettings("a")
	noRandom.Random = nil
	cases := map[string]struct {
		settings Settings
		restored RecoveredState
		want     error
	}{
		"no identity":            {testSettings(""), RecoveredState{Snapshot: voters}, ErrInvalidSettings},
		"no random source":       {noRandom, RecoveredState{Snapshot: voters}, ErrInvalidSettings},
		"gap":                    {testSettings("a"), RecoveredState{HardState: HardState{Term: 9}, Entries: entriesOf(1, 1)[1:]}, ErrCorruptLog},
		"decreasing terms":       {testSettings("a"), RecoveredState{HardState: HardState{Term: 9}, Entries: entriesOf(2, 1)}, ErrCorruptLog},
		"entry of a future term": {testSettings("a"), RecoveredState{HardState: HardState{Term: 1}, Entries: entriesOf(2)}, ErrCorruptLog},
		"applied beyond the log": {testSettings("a"), RecoveredState{HardState: HardState{Term: 1}, Entries: entriesOf(1), Applied: 2}, ErrCorruptLog},
		"undecodable members": {testSettings("a"), RecoveredState{HardState: HardState{Term: 1},
			Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: []byte("{")}}}, ErrCorruptLog},
		"valid": {testSettings("a"), RecoveredState{HardState: HardState{Term: 1}, Entries: entriesOf(1), Applied: 1}, nil},
	}
	for name, test := range cases {
		if _, err := NewMachine(test.settings, test.restored); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", name, err, test.want)
		}
	}
}

func TestSingleVoterElectsItselfImmediately(t *testing.T) {
	machine, err := NewMachine(testSettings("a"), RecoveredState{Snapshot: Snapshot{Members: Members{Voters: []ReplicaID{"a"}}}})
	if err != nil {
		t.Fatal(err)
	}
	machine.Step(sim.Epoch, Tick{})
	machine.Step(sim.Epoch, Propose{Token: 1, Data: []byte("x")})
	if status := machine.Status(); status.Role != RoleLeader || status.Committed != 0 {
		t.Fatalf("before the sync: %+v", status)
	}
	machine.Step(sim.Epoch, Persisted{Sequence: machine.persists.lastIssued})
	if status := machine.Status(); status.Applied != 2 {
		t.Fatalf("after the sync: %+v", status)
	}
}

// Regression test: the sync of an entry's first write completes after the entry was
// overwritten and written again.
func TestStaleSyncDoesNotMarkRewrittenEntryDurable(t *testing.T) {
	var disk persistTracker
	first := disk.recordAppend(5, 10)
	second := disk.recordAppend(5, 6)
	third := disk.recordAppend(5, 10)
	for _, step := range []struct{ sequence, index uint64 }{{first, 4}, {second, 4}, {third, 10}, {first, 10}, {third + 1, 10}} {
		disk.complete(step.sequence)
		if disk.durableIndex != step.index {
			t.Fatalf("after write %d: durable index %d, want %d", step.sequence, disk.durableIndex, step.index)
		}
	}
}

// Finding the last matching entry must not take one rejection per entry.
func TestLogConflictSearchSkipsTerms(t *testing.T) {
	voters := Snapshot{Members: Members{Voters: []ReplicaID{"a", "b"}}}
	log := func(term uint64) []Entry {
		terms := []uint64{1}
		for range 500 {
			terms = append(terms, term)
		}
		return entriesOf(terms...)
	}
	leader, _ := NewMachine(testSettings("a"), RecoveredState{HardState: HardState{Term: 5}, Snapshot: voters, Entries: log(4)})
	follower, _ := NewMachine(testSettings("b"), RecoveredState{HardState: HardState{Term: 5}, Snapshot: voters, Entries: log(3)})
	machines, rejections := map[ReplicaID]*Machine{"a": leader, "b": follower}, 0
	var deliver func(self ReplicaID, actions []Action)
	deliver = func(self ReplicaID, actions []Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case Persist:
				deliver(self, machines[self].Step(sim.Epoch.Add(time.Second), Persisted{Sequence: action.Sequence}))
			case Send:
				if action.Message.Type == MessageAppendResponse && !action.Message.Granted {
					rejections++
				}
				deliver(action.Message.To, machines[action.Message.To].Step(sim.Epoch.Add(time.Second), Received(action)))
			}
		}
	}
	leader.Step(sim.Epoch, Inspect{})
	deliver("a", leader.Step(sim.Epoch.Add(time.Second), Tick{}))
	if status := leader.Status(); status.Committed != status.Last || rejections > 2 {
		t.Fatalf("committed %d of %d after %d rejections", status.Committed, status.Last, rejections)
	}
}

func TestAppendWindowAndBatchSizeAreBounded(t *testing.T) {
	settings := testSettings("a")
	settings.MaxAppendBytes, settings.MaxInflight, settings.MaxUncommittedBytes = 3*(10+entryOverhead), 4, 100*(10+entryOverhead)
	machine, _ := NewMachine(settings, RecoveredState{Snapshot: Snapshot{Members: Members{Voters: []ReplicaID{"a", "b"}}}})
	machine.becomeLeader()
	machine.peers["b"].becomeReplicate(1)
	machine.actions = nil
	appends, rejected := 0, 0
	for token := range uint64(200) {
		for _, action := range machine.Step(sim.Epoch, Propose{Token: token, Data: []byte("0123456789")}) {
			switch action := action.(type) {
			case Send:
				appends++
				if size := totalSize(action.Message.Entries); size > settings.MaxAppendBytes {
					t.Fatalf("append of %d bytes exceeds MaxAppendBytes", size)
				}
			case Proposed:
				if errors.Is(action.Err, ErrOverloaded) {
					rejected++
				}
			}
		}
	}
	if appends > settings.MaxInflight || rejected < 90 {
		t.Fatalf("%d unanswered appends, %d rejected proposals", appends, rejected)
	}
}

func TestConflictWithCommittedEntryHalts(t *testing.T) {
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	cases := map[string]struct {
		append WireMessage
		halts  bool
	}{
		"equal":                  {WireMessage{Index: 1, LogTerm: 1, Entries: []Entry{entry(2, 1), entry(3, 2)}}, false},
		"uncommitted differs":    {WireMessage{Index: 2, LogTerm: 1, Entries: []Entry{entry(3, 2)}}, false},
		"empty append":           {WireMessage{}, false},
		"committed differs":      {WireMessage{Index: 1, LogTerm: 1, Entries: []Entry{entry(2, 2)}}, true},
		"previous entry differs": {WireMessage{Index: 2, LogTerm: 2, Entries: []Entry{entry(3, 2)}}, true},
	}
	for name, test := range cases {
		machine, _ := NewMachine(testSettings("a"), RecoveredState{
			HardState: HardState{Term: 1}, Entries: entriesOf(1, 1, 1), Applied: 2,
			Snapshot: Snapshot{Members: Members{Voters: []ReplicaID{"a", "b"}}},
		})
		w := test.append
		w.Type, w.From, w.To, w.Term = MessageAppend, "b", "a", 2
		machine.Step(sim.Epoch, Received{Message: w})
		if machine.Status().Halted != test.halts {
			t.Errorf("%s: halted %v", name, !test.halts)
		}
		answer := machine.Step(sim.Epoch, Propose{Token: 1})[0].(Proposed)
		if errors.Is(answer.Err, ErrHalted) != test.halts {
			t.Errorf("%s: proposal returned error %v", name, answer.Err)
		}
	}
}

// No sequence of messages, however malformed, may revert a term, a vote or the commit
// index.
func TestArbitraryMessagesPreserveTermVoteAndCommit(t *testing.T) {
	ids := []ReplicaID{"a", "b", "c"}
	types := []MessageType{MessagePreVote, MessagePreVoteResponse, MessageVote, MessageVoteResponse, MessageAppend, MessageAppendResponse, MessageSnapshot, MessageSnapshotResponse, MessageTimeoutNow}
	rapid.Check(t, func(t *rapid.T) {
		machine, _ := NewMachine(testSettings("a"), RecoveredState{Snapshot: Snapshot{Members: Members{Voters: ids}}})
		small := func(name string) uint64 { return rapid.Uint64Range(0, 6).Draw(t, name) }
		now := sim.Epoch
		for range 60 {
			if machine.halted {
				return
			}
			before, committed := machine.state, machine.committed
			now = now.Add(time.Duration(small("wait")) * testHeartbeat)
			w := WireMessage{
				Type: rapid.SampledFrom(types).Draw(t, "type"), To: "a", From: rapid.SampledFrom(ids[1:]).Draw(t, "from"),
				Term: small("term"), Index: small("index"), LogTerm: small("log term"), Commit: small("commit"),
				Match: small("match"), Round: small("round"), Granted: rapid.Bool().Draw(t, "granted"), Transfer: rapid.Bool().Draw(t, "transfer"),
			}
			for i := range small("entries") {
				w.Entries = append(w.Entries, Entry{Index: w.Index + 1 + i, Term: small("entry term"), Kind: EntryKind(small("kind") % 3), Data: []byte("{}")})
			}
			if rapid.Bool().Draw(t, "with snapshot") {
				w.Snapshot = &Snapshot{Index: small("snapshot"), Term: small("snapshot term"), Members: Members{Voters: ids}}
			}
			message := rapid.SampledFrom([]Message{
				Received{Message: w}, Tick{}, Propose{Token: 1}, ConfirmLeadership{Token: 2}, TransferLeadership{Token: 3}, Inspect{},
				Persisted{Sequence: machine.persists.lastIssued}, Compact{Snapshot: Snapshot{Index: small("compact")}},
				SnapshotFetched{Index: small("fetched"), Term: small("fetched term")},
			}).Draw(t, "message")
			machine.Step(now, message)
			after := machine.state
			if after.Term < before.Term || machine.committed < committed || after.Term == before.Term && before.Vote != "" && after.Vote != before.Vote {
				t.Fatalf("hard state changed from %+v to %+v, commit index from %d to %d", before, after, committed, machine.committed)
			}
		}
	})
}
