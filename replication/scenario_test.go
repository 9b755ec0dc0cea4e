package replication

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// newLed gives a group that has chosen a leader, and the leader.
func newLed(t *testing.T, o options) (*cluster, *replica) {
	t.Helper()
	c := newCluster(o)
	c.simulation.Run(2 * time.Second)
	return c, c.leader(t)
}

func (c *cluster) leader(t *testing.T) *replica {
	t.Helper()
	var leader *replica
	for _, r := range c.replicas {
		if r.leading && r.process.Up() && (leader == nil || r.machine.state.Term > leader.machine.state.Term) {
			leader = r
		}
	}
	if leader == nil {
		t.Fatal("no leader")
	}
	return leader
}

// ask steps a message with a fresh token, lets time pass and gives the answer.
func (r *replica) ask(wait time.Duration, message func(token uint64) Message) (error, bool) {
	r.cluster.serial++
	token := r.cluster.serial
	r.step(message(token))
	r.cluster.simulation.Run(wait)
	err, answered := r.answers[token]
	return err, answered
}

func propose(token uint64) Message { return Propose{Token: token, Data: []byte("command")} }
func confirm(token uint64) Message { return Confirm{Token: token} }

func (c *cluster) followers(leader *replica) []*replica {
	return slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r == leader })
}

func (c *cluster) requireWhole(t *testing.T) {
	t.Helper()
	if len(c.broken) > 0 {
		t.Fatal(c.broken)
	}
}

// elect makes only the given slot stand for election, until it leads.
func (c *cluster) elect(slot int) {
	for range 5 {
		for _, r := range c.replicas {
			r.machine.electionDue, r.machine.heardLeader = c.simulation.Now().Add(time.Minute), time.Time{}
		}
		c.replicas[slot].machine.electionDue = c.simulation.Now()
		c.simulation.Run(testHeartbeat)
		if c.replicas[slot].leading {
			return
		}
	}
}

// oldTermScenario is figure 8 of the Raft paper: an entry of an old term reaches
// a majority and its leader fails before one of its own term does.
func oldTermScenario(planted plantedFaults) *cluster {
	c := newCluster(options{seed: 1, voters: 5, planted: planted})
	only := func(from, to ReplicaID) {
		c.drop = func(w WireMessage) bool { return w.From == from && w.Type == MessageAppend && w.To != to }
	}
	c.simulation.Run(testHeartbeat)
	c.elect(0)
	only("r0", "r1")
	c.replicas[0].step(Propose{Data: make([]byte, 500)}) // alone in its append
	c.simulation.Run(testHeartbeat)
	c.replicas[0].crash()
	only("r4", "")
	c.elect(4)
	c.replicas[4].step(Propose{Data: []byte("rival")})
	c.simulation.Run(10 * time.Millisecond)
	c.replicas[4].crash()
	c.replicas[0].restart()
	c.drop = func(w WireMessage) bool {
		late := slices.ContainsFunc(w.Entries, func(e Entry) bool { return e.Kind == EntryNoop && e.Index > 1 })
		return w.From == "r0" && late
	}
	c.elect(0)
	c.simulation.Run(2 * testHeartbeat)
	c.replicas[0].crash()
	c.drop = nil
	c.replicas[4].restart()
	c.elect(4)
	c.replicas[0].restart()
	c.simulation.Run(time.Second)
	return c
}

func TestOldTermIsNotCommittedByCount(t *testing.T) {
	c := oldTermScenario(plantedFaults{})
	c.requireWhole(t)
	if rival := c.leader(t); rival.id != "r4" || rival.applied < 4 {
		t.Fatalf("%s leads and has applied %d: the scenario did not come about", rival.id, rival.applied)
	}
	broken := oldTermScenario(plantedFaults{commitOldTerm: true}).broken
	if len(broken) == 0 {
		t.Fatal("commit-old-term-by-count was not caught")
	}
	t.Log(broken[0])
}

// olderTermScenario lets an append of a crashed leader arrive late, just when a
// majority has committed another entry at its place.
func olderTermScenario(planted plantedFaults) *cluster {
	c := newCluster(options{seed: 1, voters: 3, planted: planted})
	c.simulation.Run(testHeartbeat)
	c.elect(0)
	var late []WireMessage
	c.drop = func(w WireMessage) bool {
		held := w.From == "r0" && len(w.Entries) > 0
		if held && w.To == "r2" {
			late = append(late, w)
		}
		return held || w.From == "r1" && len(w.Entries) == 0 && w.Type == MessageAppend // r2 doesn't learn of the commit
	}
	c.replicas[0].step(Propose{Data: []byte("stale")})
	c.simulation.Run(testHeartbeat)
	c.replicas[0].crash()
	c.elect(1)
	for _, w := range late {
		c.replicas[2].step(Received{Message: w})
	}
	c.simulation.Run(10 * time.Millisecond)
	c.replicas[1].crash()
	c.drop = nil
	c.replicas[0].restart()
	c.elect(0)
	c.elect(2)
	c.simulation.Run(time.Second)
	return c
}

func TestOlderTermIsFenced(t *testing.T) {
	c := olderTermScenario(plantedFaults{})
	c.requireWhole(t)
	if c.committed[2].term != 2 || c.leader(t).id != "r2" {
		t.Fatalf("entry 2 is of term %d, %s leads: the scenario did not come about", c.committed[2].term, c.leader(t).id)
	}
	broken := olderTermScenario(plantedFaults{ignoreTerm: true}).broken
	if len(broken) == 0 {
		t.Fatal("ignore-term was not caught")
	}
	t.Log(broken[0])
}

func TestLaggingReplicaGetsSnapshotAndThenTheLog(t *testing.T) {
	c, leader := newLed(t, options{seed: 2, voters: 3})
	c.clients(10 * time.Millisecond)
	lagging := c.followers(leader)[0]
	lagging.crash()
	c.simulation.Run(3 * time.Second)
	lagging.restart()
	c.simulation.Run(3 * time.Second)
	c.requireWhole(t)
	if lagging.fetched == 0 || lagging.applied+20 < c.checker.applied {
		t.Fatalf("%d snapshots, applied %d of %d", lagging.fetched, lagging.applied, c.checker.applied)
	}
}

func TestMembersChangeOneStepAtATime(t *testing.T) {
	c, leader := newLed(t, options{seed: 3, voters: 3})
	c.replicas = append(c.replicas, c.newReplica("new", stored{}))
	voters := c.first.Voters
	follower := c.followers(leader)[0]
	steps := []struct {
		name    string
		cut     bool // the new replica hears nothing
		members Members
		want    error
	}{
		{"no voters", false, Members{Learners: voters}, ErrInvalidMembers},
		{"twice the same", false, Members{Voters: append(voters, voters[0])}, ErrInvalidMembers},
		{"no change", false, Members{Voters: voters}, ErrInvalidMembers},
		{"two at once", false, Members{Voters: voters[:2], Learners: []ReplicaID{"new"}}, ErrInvalidMembers},
		{"voter at once", false, Members{Voters: append(voters, "new")}, ErrInvalidMembers},
		{"learner", true, Members{Voters: voters, Learners: []ReplicaID{"new"}}, nil},
		{"voter that lags", true, Members{Voters: append(voters, "new")}, ErrNotCaughtUp},
		{"voter that has caught up", false, Members{Voters: append(voters, "new")}, nil},
		{"removal", false, Members{Voters: append(slices.DeleteFunc(slices.Clone(voters), func(id ReplicaID) bool { return id == follower.id }), "new")}, nil},
	}
	for _, step := range steps {
		c.network.Heal()
		if step.cut {
			c.network.Isolate("new")
		}
		c.simulation.Run(300 * time.Millisecond)
		err, _ := leader.ask(300*time.Millisecond, func(token uint64) Message { return ProposeMembers{Token: token, Members: step.members} })
		if !errors.Is(err, step.want) {
			t.Fatalf("%s: got %v, want %v", step.name, err, step.want)
		}
	}
	term := leader.machine.state.Term
	c.simulation.Run(10 * time.Second) // the removed replica still runs
	if c.requireWhole(t); !leader.leading || leader.machine.state.Term != term {
		t.Fatalf("the removed replica disturbed: term %d became %d", term, leader.machine.state.Term)
	}
}

func TestMemberChangeWaitsForNoopAndForAnother(t *testing.T) {
	c, leader := newLed(t, options{seed: 4, voters: 3})
	c.network.Isolate(string(leader.id))
	change := func(id ReplicaID) func(uint64) Message {
		return func(token uint64) Message {
			return ProposeMembers{Token: token, Members: Members{Voters: c.first.Voters, Learners: []ReplicaID{id}}}
		}
	}
	if err, _ := leader.ask(0, change("a")); err != nil {
		t.Fatal(err)
	}
	if err, _ := leader.ask(0, change("b")); !errors.Is(err, ErrChangePending) {
		t.Fatalf("got %v, want %v", err, ErrChangePending)
	}
	c.network.Heal()
	c.simulation.Run(time.Second)
	c.drop = func(w WireMessage) bool { return w.Type == MessageAppendAnswer }
	old := c.leader(t)
	old.crash()
	next := c.followers(old)[0]
	c.elect(slices.Index(c.replicas, next))
	if err, _ := next.ask(0, change("c")); !errors.Is(err, ErrNotReady) {
		t.Fatalf("got %v, want %v", err, ErrNotReady)
	}
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	c, leader := newLed(t, options{seed: 5, voters: 3})
	rest := slices.DeleteFunc(slices.Clone(c.first.Voters), func(id ReplicaID) bool { return id == leader.id })
	if err, _ := leader.ask(100*time.Millisecond, func(token uint64) Message {
		return ProposeMembers{Token: token, Members: Members{Voters: rest}}
	}); err != nil {
		t.Fatal(err)
	}
	if next := c.leader(t); next == leader || leader.leading {
		t.Fatalf("%s still leads", leader.id)
	}
	c.requireWhole(t)
}

func TestCutOffReplicaDoesNotRaiseTheTerm(t *testing.T) {
	c, leader := newLed(t, options{seed: 6, voters: 3})
	term := leader.machine.state.Term
	c.network.Isolate(string(c.followers(leader)[0].id))
	c.simulation.Run(10 * time.Second)
	c.network.Heal()
	c.simulation.Run(time.Second)
	if c.leader(t) != leader || leader.machine.state.Term != term {
		t.Fatalf("term %d became %d", term, c.leader(t).machine.state.Term)
	}
}

func TestTransferLeadership(t *testing.T) {
	c, leader := newLed(t, options{seed: 7, voters: 3})
	follower := c.followers(leader)[0]
	transfer := func(to ReplicaID) func(uint64) Message {
		return func(token uint64) Message { return TransferLeadership{Token: token, To: to} }
	}
	if err, _ := leader.ask(0, transfer("stranger")); !errors.Is(err, ErrInvalidSuccessor) {
		t.Fatalf("got %v, want %v", err, ErrInvalidSuccessor)
	}
	follower.process.Pause()
	if _, answered := leader.ask(0, transfer(follower.id)); answered {
		t.Fatal("answered at once")
	}
	if err, _ := leader.ask(0, propose); !errors.Is(err, ErrTransferring) {
		t.Fatalf("got %v, want %v", err, ErrTransferring)
	}
	c.simulation.Run(2 * testElection)
	if err := leader.answers[c.serial-1]; !errors.Is(err, ErrTransferTimeout) {
		t.Fatalf("got %v, want %v", err, ErrTransferTimeout)
	}
	follower.process.Resume()
	c.simulation.Run(testElection)
	if err, answered := c.leader(t).ask(testHeartbeat, transfer("")); err != nil || !answered {
		t.Fatalf("answered %v with %v", answered, err)
	}
	if next := c.leader(t); next == leader && follower.leading {
		t.Fatal("leadership did not move")
	}
	c.requireWhole(t)
}

func TestPausedLeaderIsFenced(t *testing.T) {
	c, old := newLed(t, options{seed: 8, voters: 3})
	old.process.Pause()
	c.simulation.Run(2 * time.Second)
	next := c.leader(t)
	if err, _ := next.ask(testHeartbeat, propose); next == old || err != nil {
		t.Fatalf("no successor: %v", err)
	}
	old.process.Resume()
	old.step(Propose{Token: 1 << 40, Data: []byte("stale")}) // before it hears anything
	if err, answered := old.ask(testElection, confirm); !answered || !errors.Is(err, ErrNotLeader) {
		t.Fatalf("answered %v with %v", answered, err)
	}
	c.simulation.Run(time.Second)
	c.requireWhole(t)
	if old.leading || old.applied != next.applied {
		t.Fatalf("leading %v, applied %d of %d", old.leading, old.applied, next.applied)
	}
}

func TestLeaderWithoutQuorumAnswersWhatWaits(t *testing.T) {
	c, leader := newLed(t, options{seed: 9, voters: 5})
	c.network.Isolate(string(leader.id))
	err, answered := leader.ask(2*testElection+testHeartbeat, confirm)
	if !answered || !errors.Is(err, ErrNotLeader) || leader.leading {
		t.Fatalf("answered %v with %v, leading %v", answered, err, leader.leading)
	}
}

func TestLeaderWhoseDiskStandsStillGivesWay(t *testing.T) {
	c, leader := newLed(t, options{seed: 10, voters: 3})
	leader.stalled = c.simulation.Now().Add(time.Minute)
	leader.step(Propose{Token: 1, Data: []byte("command")})
	c.simulation.Run(3 * testElection)
	if next := c.leader(t); next == leader {
		t.Fatal("it still leads")
	} else if err, _ := next.ask(testElection, propose); err != nil || next.applied < 3 {
		t.Fatalf("the successor has applied %d: %v", next.applied, err)
	}
}
