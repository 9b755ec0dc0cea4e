package store

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

func storeNode(id, replica, address string) api.Node {
	return api.Node{ID: api.NodeID(id), Role: api.RoleStore, Address: address, Summary: api.Summary{Replica: replica}}
}

// A machine that came back with an empty disk answers its address with another
// identity seconds before the view of nodes shows it: on the bench a second disk
// was lost in between (trouble-2 --seed 242734256733 of sbandel-dykewing).
func TestADiskIsKnownToBeLostBeforeTheViewShowsIt(t *testing.T) {
	p := newPeers(time.Minute)
	now := time.Now()
	view := []api.Node{storeNode("a", "old", "10.0.0.1:1"), storeNode("b", "other", "10.0.0.2:1")}
	p.observe(view)
	if p.lost(now, "old", now, time.Hour) {
		t.Fatal("the disk is lost before anything says so")
	}
	if !p.succeeded("old", identityAnswer{Replica: "new", Node: "a"}, "10.0.0.1:1") {
		t.Fatal("the successor was not news")
	}
	p.observe(view) // still late
	if !p.lost(now, "old", now, time.Hour) {
		t.Error("the old disk is not taken for lost")
	}
	if p.lost(now, "new", now, time.Hour) || p.lost(now, "other", now, time.Hour) {
		t.Error("a disk that is there is taken for lost")
	}
	if !isCandidate(p, now, "new") {
		t.Error("the new disk is no candidate")
	}
	if isCandidate(p, now, "old") {
		t.Error("the lost disk is a candidate")
	}
	if p.succeeded("old", identityAnswer{Replica: "new", Node: "a"}, "10.0.0.1:1") {
		t.Error("the same successor is news twice")
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

// After a start of all processes a new leader knows no address of the member
// whose disk is gone; the registrations tell.
func TestRegistrationsTellOfAMachineThatNoViewShows(t *testing.T) {
	p := newPeers(time.Minute)
	now := time.Now()
	p.observe([]api.Node{storeNode("b", "other", "10.0.0.2:1")})
	p.register([]storeRecord{
		{Replica: "old", Node: "a", Address: "10.0.0.1:1"},
		{Replica: "new", Node: "a", Address: "10.0.0.1:1"},
		{Replica: "other", Node: "b", Address: "10.0.0.2:1"},
	})
	if !p.lost(now, "old", now, time.Hour) || p.lost(now, "new", now, time.Hour) || p.lost(now, "other", now, time.Hour) {
		t.Error("exactly the older registration of the machine is to be lost")
	}
	if address, ok := p.address(now, "new"); !ok || address != "10.0.0.1:1" {
		t.Errorf("address %q, %t", address, ok)
	}
}

// Followers hear only from their leader: when it is lost with its disk, they must
// know each other's addresses without a view (5.6 s without a leader on the bench,
// trouble-2 of sbandel-dykewing).
func TestFollowersLearnEachOthersAddressesFromTheLeader(t *testing.T) {
	leader, follower := newPeers(time.Minute), newPeers(time.Minute)
	now := time.Now()
	leader.heard(now, "one", "10.0.0.1:1")
	leader.heard(now, "two", "10.0.0.2:1")
	leader.heard(now.Add(-time.Hour), "gone", "10.0.0.3:1")
	follower.told(leader.heardAddresses(now, "one"))
	if address, ok := follower.address(now, "two"); !ok || address != "10.0.0.2:1" {
		t.Errorf("address of the other follower: %q, %t", address, ok)
	}
	for _, unknown := range []replication.ReplicaID{"one", "gone"} {
		if _, ok := follower.address(now, unknown); ok {
			t.Errorf("an address of %s was told", unknown)
		}
	}
}
