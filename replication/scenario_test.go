package replication

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// newClusterWithLeader returns a cluster that has elected a leader, and the leader.
func newClusterWithLeader(t *testing.T, o options) (*cluster, *replica) {
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

// request steps a message with a new token, runs the simulation for wait and returns the
// result, and whether there is one.
func (r *replica) request(wait time.Duration, message func(token uint64) Message) (error, bool) {
	r.cluster.serial++
	token := r.cluster.serial
	r.step(message(token))
	r.cluster.simulation.Run(wait)
	err, answered := r.results[token]
	return err, answered
}

func propose(token uint64) Message { return Propose{Token: token, Data: []byte("command")} }
func confirm(token uint64) Message { return ConfirmLeadership{Token: token} }

func (c *cluster) followers(leader *replica) []*replica {
	return slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r == leader })
}

func (c *cluster) requireNoViolations(t *testing.T) {
	t.Helper()
	if len(c.violations) > 0 {
		t.Fatal(c.violations)
	}
}

// elect suppresses elections at all other replicas until the given slot is leader.
func (c *cluster) elect(slot int) {
	for range 5 {
		for _, r := range c.replicas {
			r.machine.electionDeadline, r.machine.leaderHeardAt = c.simulation.Now().Add(time.Minute), time.Time{}
		}
		c.replicas[slot].machine.electionDeadline = c.simulation.Now()
		c.simulation.Run(testHeartbeat)
		if c.replicas[slot].leading {
			return
		}
	}
}

// priorTermScenario is figure 8 of the Raft paper: an entry of an earlier term reaches a
// majority, and the leader fails before it has replicated an entry of its own term.
func priorTermScenario(bugs injectedBugs) *cluster {
	c := newCluster(options{seed: 1, voters: 5, bugs: bugs})
	only := func(from, to ReplicaID) {
		c.drop = func(w WireMessage) bool { return w.From == from && w.Type == MessageAppend && w.To != to }
	}
	c.simulation.Run(testHeartbeat)
	c.elect(0)
	only("r0", "r1")
	c.replicas[0].step(Propose{Data: make([]byte, 500)}) // too large to share an append with other entries
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

func TestPriorTermEntryIsNotCommittedByCount(t *testing.T) {
	c := priorTermScenario(injectedBugs{})
	c.requireNoViolations(t)
	if rival := c.leader(t); rival.id != "r4" || rival.applied < 4 {
		t.Fatalf("%s leads and has applied %d: the scenario was not set up as intended", rival.id, rival.applied)
	}
	violations := priorTermScenario(injectedBugs{commitPriorTerm: true}).violations
	if len(violations) == 0 {
		t.Fatal("the commitPriorTerm bug was not detected")
	}
	t.Log(violations[0])
}

// staleAppendScenario delays an append of a crashed leader until a majority has
// committed another entry at the same index.
func staleAppendScenario(bugs injectedBugs) *cluster {
	c := newCluster(options{seed: 1, voters: 3, bugs: bugs})
	c.simulation.Run(testHeartbeat)
	c.elect(0)
	var late []WireMessage
	c.drop = func(w WireMessage) bool {
		held := w.From == "r0" && len(w.Entries) > 0
		if held && w.To == "r2" {
			late = append(late, w)
		}
		return held || w.From == "r1" && len(w.Entries) == 0 && w.Type == MessageAppend // r2 does not learn the commit index
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

func TestStaleTermAppendIsRejected(t *testing.T) {
	c := staleAppendScenario(injectedBugs{})
	c.requireNoViolations(t)
	if c.committed[2].term != 2 || c.leader(t).id != "r2" {
		t.Fatalf("entry 2 is of term %d, %s leads: the scenario was not set up as intended", c.committed[2].term, c.leader(t).id)
	}
	violations := staleAppendScenario(injectedBugs{acceptStaleTerm: true}).violations
	if len(violations) == 0 {
		t.Fatal("the acceptStaleTerm bug was not detected")
	}
	t.Log(violations[0])
}

func TestLaggingReplicaCatchesUpBySnapshotThenLog(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 2, voters: 3})
	c.startClients(10 * time.Millisecond)
	lagging := c.followers(leader)[0]
	lagging.crash()
	c.simulation.Run(3 * time.Second)
	lagging.restart()
	c.simulation.Run(3 * time.Second)
	c.requireNoViolations(t)
	if lagging.snapshotsInstalled == 0 || lagging.applied+20 < c.checker.applied {
		t.Fatalf("%d snapshots, applied %d of %d", lagging.snapshotsInstalled, lagging.applied, c.checker.applied)
	}
}

func TestMembersChangeOneReplicaAtATime(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 3, voters: 3})
	c.replicas = append(c.replicas, c.newReplica("new", diskState{}))
	voters := c.initialMembers.Voters
	follower := c.followers(leader)[0]
	steps := []struct {
		name    string
		cut     bool // the new replica is isolated
		members Members
		want    error
	}{
		{"no voters", false, Members{Learners: voters}, ErrInvalidMembers},
		{"duplicate voter", false, Members{Voters: append(voters, voters[0])}, ErrInvalidMembers},
		{"no change", false, Members{Voters: voters}, ErrInvalidMembers},
		{"two replicas", false, Members{Voters: voters[:2], Learners: []ReplicaID{"new"}}, ErrInvalidMembers},
		{"voter that was no learner", false, Members{Voters: append(voters, "new")}, ErrInvalidMembers},
		{"learner", true, Members{Voters: voters, Learners: []ReplicaID{"new"}}, nil},
		{"lagging learner to voter", true, Members{Voters: append(voters, "new")}, ErrNotCaughtUp},
		{"learner that has caught up to voter", false, Members{Voters: append(voters, "new")}, nil},
		{"removal", false, Members{Voters: append(slices.DeleteFunc(slices.Clone(voters), func(id ReplicaID) bool { return id == follower.id }), "new")}, nil},
	}
	for _, step := range steps {
		c.network.Heal()
		if step.cut {
			c.network.Isolate("new")
		}
		c.simulation.Run(300 * time.Millisecond)
		err, _ := leader.request(300*time.Millisecond, func(token uint64) Message { return ProposeMembers{Token: token, Members: step.members} })
		if !errors.Is(err, step.want) {
			t.Fatalf("%s: got %v, want %v", step.name, err, step.want)
		}
	}
	term := leader.machine.state.Term
	c.simulation.Run(10 * time.Second) // the removed replica keeps running
	if c.requireNoViolations(t); !leader.leading || leader.machine.state.Term != term {
		t.Fatalf("the removed replica disrupted the group: term changed from %d to %d", term, leader.machine.state.Term)
	}
}

func TestMemberChangeRequiresCommittedNoopAndNoPendingChange(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 4, voters: 3})
	c.network.Isolate(string(leader.id))
	change := func(id ReplicaID) func(uint64) Message {
		return func(token uint64) Message {
			return ProposeMembers{Token: token, Members: Members{Voters: c.initialMembers.Voters, Learners: []ReplicaID{id}}}
		}
	}
	if err, _ := leader.request(0, change("a")); err != nil {
		t.Fatal(err)
	}
	if err, _ := leader.request(0, change("b")); !errors.Is(err, ErrChangePending) {
		t.Fatalf("got %v, want %v", err, ErrChangePending)
	}
	c.network.Heal()
	c.simulation.Run(time.Second)
	c.drop = func(w WireMessage) bool { return w.Type == MessageAppendResponse }
	old := c.leader(t)
	old.crash()
	next := c.followers(old)[0]
	c.elect(slices.Index(c.replicas, next))
	if err, _ := next.request(0, change("c")); !errors.Is(err, ErrNotReady) {
		t.Fatalf("got %v, want %v", err, ErrNotReady)
	}
}

func TestRemovedLeaderYieldsLeadership(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 5, voters: 3})
	rest := slices.DeleteFunc(slices.Clone(c.initialMembers.Voters), func(id ReplicaID) bool { return id == leader.id })
	if err, _ := leader.request(100*time.Millisecond, func(token uint64) Message {
		return ProposeMembers{Token: token, Members: Members{Voters: rest}}
	}); err != nil {
		t.Fatal(err)
	}
	if next := c.leader(t); next == leader || leader.leading {
		t.Fatalf("removed leader %s still leads", leader.id)
	}
	c.requireNoViolations(t)
}

func TestIsolatedReplicaDoesNotRaiseTerm(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 6, voters: 3})
	term := leader.machine.state.Term
	c.network.Isolate(string(c.followers(leader)[0].id))
	c.simulation.Run(10 * time.Second)
	c.network.Heal()
	c.simulation.Run(time.Second)
	if c.leader(t) != leader || leader.machine.state.Term != term {
		t.Fatalf("term changed from %d to %d", term, c.leader(t).machine.state.Term)
	}
}

func TestTransferLeadership(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 7, voters: 3})
	follower := c.followers(leader)[0]
	transfer := func(to ReplicaID) func(uint64) Message {
		return func(token uint64) Message { return TransferLeadership{Token: token, To: to} }
	}
	if err, _ := leader.request(0, transfer("stranger")); !errors.Is(err, ErrInvalidSuccessor) {
		t.Fatalf("got %v, want %v", err, ErrInvalidSuccessor)
	}
	follower.process.Pause()
	if _, answered := leader.request(0, transfer(follower.id)); answered {
		t.Fatal("transfer to a paused replica was answered immediately")
	}
	if err, _ := leader.request(0, propose); !errors.Is(err, ErrTransferInProgress) {
		t.Fatalf("got %v, want %v", err, ErrTransferInProgress)
	}
	c.simulation.Run(2 * testElection)
	if err := leader.results[c.serial-1]; !errors.Is(err, ErrTransferTimeout) {
		t.Fatalf("got %v, want %v", err, ErrTransferTimeout)
	}
	follower.process.Resume()
	c.simulation.Run(testElection)
	if err, answered := c.leader(t).request(testHeartbeat, transfer("")); err != nil || !answered {
		t.Fatalf("answered %v with %v", answered, err)
	}
	if next := c.leader(t); next == leader && follower.leading {
		t.Fatal("leadership was not transferred")
	}
	c.requireNoViolations(t)
}

func TestPausedLeaderIsFenced(t *testing.T) {
	c, old := newClusterWithLeader(t, options{seed: 8, voters: 3})
	old.process.Pause()
	c.simulation.Run(2 * time.Second)
	next := c.leader(t)
	if err, _ := next.request(testHeartbeat, propose); next == old || err != nil {
		t.Fatalf("no new leader accepted a proposal: %v", err)
	}
	old.process.Resume()
	old.step(Propose{Token: 1 << 40, Data: []byte("stale")}) // before it receives any message
	if err, answered := old.request(testElection, confirm); !answered || !errors.Is(err, ErrNotLeader) {
		t.Fatalf("answered %v with %v", answered, err)
	}
	c.simulation.Run(time.Second)
	c.requireNoViolations(t)
	if old.leading || old.applied != next.applied {
		t.Fatalf("old leader: leading %v, applied %d of %d", old.leading, old.applied, next.applied)
	}
}

func TestLeaderWithoutQuorumFailsPendingConfirms(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 9, voters: 5})
	c.network.Isolate(string(leader.id))
	err, answered := leader.request(2*testElection+testHeartbeat, confirm)
	if !answered || !errors.Is(err, ErrNotLeader) || leader.leading {
		t.Fatalf("answered %v with %v, leading %v", answered, err, leader.leading)
	}
}

func TestLeaderWithStalledDiskStepsDown(t *testing.T) {
	c, leader := newClusterWithLeader(t, options{seed: 10, voters: 3})
	leader.stalledUntil = c.simulation.Now().Add(time.Minute)
	leader.step(Propose{Token: 1, Data: []byte("command")})
	c.simulation.Run(3 * testElection)
	if next := c.leader(t); next == leader {
		t.Fatal("the leader with a stalled disk still leads")
	} else if err, _ := next.request(testElection, propose); err != nil || next.applied < 3 {
		t.Fatalf("the new leader has applied %d: %v", next.applied, err)
	}
}
