package store

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

func storeNode(id, replica, address string) api.Node {
	return api.Node{ID: api.NodeID(id), Role: api.RoleStore, Address: address, Summary: api.LoadSummary{Replica: replica}}
}

// The membership view may show a replaced disk for seconds, in which a second disk may be lost.
func TestReplacedDiskIsLostBeforeViewUpdate(t *testing.T) {
	p := newPeers(time.Minute)
	now := time.Now()
	view := []api.Node{storeNode("a", "old", "10.0.0.1:1"), storeNode("b", "other", "10.0.0.2:1")}
	p.observe(now, view)
	if p.lost(now, "old", now, time.Hour) {
		t.Fatal("disk is lost without a reason")
	}
	if !p.recordSuccessor("old", identityAnswer{Replica: "new", Node: "a"}, "10.0.0.1:1") {
		t.Fatal("new successor reported as known")
	}
	p.observe(now, view) // still stale
	if !p.lost(now, "old", now, time.Hour) {
		t.Error("the replaced disk is not lost")
	}
	if p.lost(now, "new", now, time.Hour) || p.lost(now, "other", now, time.Hour) {
		t.Error("an available disk is lost")
	}
	if !isCandidate(p, now, "new") {
		t.Error("the new disk is not a candidate")
	}
	if isCandidate(p, now, "old") {
		t.Error("the lost disk is a candidate")
	}
	if p.recordSuccessor("old", identityAnswer{Replica: "new", Node: "a"}, "10.0.0.1:1") {
		t.Error("known successor reported as new")
	}
}

func isCandidate(p *peers, now time.Time, replica replication.ReplicaID) bool {
	for _, store := range p.stores(now) {
		if store.Replica == replica {
			return true
		}
	}
	return false
}

// After a restart of all processes, only the registrations tell a new leader about the member
// whose disk is gone.
func TestRegistrationsSupplementView(t *testing.T) {
	p := newPeers(time.Minute)
	now := time.Now()
	p.observe(now, []api.Node{storeNode("b", "other", "10.0.0.2:1")})
	p.register([]storeRecord{
		{Replica: "old", Node: "a", Address: "10.0.0.1:1"},
		{Replica: "new", Node: "a", Address: "10.0.0.1:1"},
		{Replica: "other", Node: "b", Address: "10.0.0.2:1"},
	})
	if !p.lost(now, "old", now, time.Hour) || p.lost(now, "new", now, time.Hour) || p.lost(now, "other", now, time.Hour) {
		t.Error("only the older registration of the machine must be lost")
	}
	if address, ok := p.address(now, "new"); !ok || address != "10.0.0.1:1" {
		t.Errorf("address %q, %t", address, ok)
	}
}

// Followers hear only from their leader. When it is lost, they need each other's addresses
// before the membership view has them.
func TestFollowersLearnPeerAddressesFromLeader(t *testing.T) {
	leader, follower := newPeers(time.Minute), newPeers(time.Minute)
	now := time.Now()
	leader.recordContact(now, "one", "10.0.0.1:1")
	leader.recordContact(now, "two", "10.0.0.2:1")
	leader.recordContact(now.Add(-time.Hour), "gone", "10.0.0.3:1")
	follower.recordAdvertised(leader.recentAddresses(now, "one"))
	if address, ok := follower.address(now, "two"); !ok || address != "10.0.0.2:1" {
		t.Errorf("address of the other follower: %q, %t", address, ok)
	}
	for _, unknown := range []replication.ReplicaID{"one", "gone"} {
		if _, ok := follower.address(now, unknown); ok {
			t.Errorf("address of %s is known", unknown)
		}
	}
}

// Guards against a learner that is removed in the moment in which it is added, since a leader of long
// standing has never heard from it.
func TestNewLearnerIsNotLost(t *testing.T) {
	p := newPeers(time.Minute)
	now := time.Now()
	p.observe(now, []api.Node{storeNode("a", "learner", "10.0.0.1:1")})
	const after = 2 * time.Second
	leading := now.Add(-time.Minute)
	p.observeLearners(now, 1, []replication.ReplicaID{"learner"})
	if p.memberLost(now.Add(time.Second), 1, "learner", leading, after) {
		t.Error("lost one second after it was added")
	}
	p.observeLearners(now.Add(time.Second), 1, []replication.ReplicaID{"learner"})
	if !p.memberLost(now.Add(3*time.Second), 1, "learner", leading, after) {
		t.Error("not lost after three seconds of silence")
	}
	if !p.memberLost(now.Add(time.Second), 2, "learner", leading, after) {
		t.Error("not lost in another group, of which it is a member for long")
	}
}

// Guards against lost voters that are never replaced while leaders change every few seconds: each new
// leader counted their silence anew.
func TestSilenceOutlastsLeaderChange(t *testing.T) {
	p := newPeers(time.Minute)
	start := time.Now()
	gone, other := storeNode("a", "gone", "10.0.0.1:1"), storeNode("b", "other", "10.0.0.2:1")
	p.observe(start, []api.Node{gone, other})
	const after = 2 * time.Second
	now := start.Add(5 * time.Second)
	p.observe(now, []api.Node{other})
	leading := now.Add(-contactTimeout)
	if p.lost(now, "gone", now, after) {
		t.Error("lost before it could answer the new leader")
	}
	if !p.lost(now, "gone", leading, after) {
		t.Error("a replica that left the view five seconds ago is not lost")
	}
	if p.lost(now, "other", leading, after) {
		t.Error("a listed replica is lost before it can be heard from")
	}
	if p.lost(start.Add(time.Second), "gone", start, after) {
		t.Error("lost one second after it was last listed")
	}
	p.recordContact(now, "gone", "10.0.0.1:1")
	if p.lost(now, "gone", leading, after) {
		t.Error("lost right after a message")
	}
}
