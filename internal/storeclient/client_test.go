package storeclient

import (
	"encoding/json"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/replication"
)

func store(id string, leading bool) api.Node {
	node := api.Node{ID: api.NodeID(id), Role: api.RoleStore, Address: id + ":1"}
	if leading {
		node.Summary.Groups = []api.GroupSummary{{Group: 0, Term: 3, Leading: true}}
	}
	return node
}

// Guards against asking the same store repeatedly while the membership view still names it as
// leader.
func TestRefusingLeaderIsSkipped(t *testing.T) {
	nodes := []api.Node{store("a", true), store("b", false), store("c", false), {ID: "f", Role: api.RoleFrontend}}
	c := &Client{Nodes: func() []api.Node { return nodes }}
	first, ok := c.target(0)
	if !ok || first.ID != "a" {
		t.Fatalf("asked %v first, want the leader in the view", first.ID)
	}
	c.recordRefusal(0, "a", &api.Error{Code: api.CodeNotLeader})
	second, _ := c.target(0)
	c.recordRefusal(0, second.ID, &api.Error{Code: api.CodeNotLeader})
	third, _ := c.target(0)
	if asked := map[api.NodeID]bool{second.ID: true, third.ID: true}; !asked["b"] || !asked["c"] {
		t.Errorf("asked %s and %s after a, want b and c", second.ID, third.ID)
	}
	if !c.recordRefusal(0, third.ID, &api.Error{Code: api.CodeNotLeader, Leader: first.ID}) {
		t.Error("newly named leader is not asked at once")
	}
	if named, _ := c.target(0); named.ID != first.ID {
		t.Errorf("asked %s, want the named leader", named.ID)
	}
}

func TestRegisteredAddsMissingStores(t *testing.T) {
	r := &Registrations{}
	r.Apply(kv.Batch{Events: []kv.Event{{Pair: registered("early", "x", 1)}}}) // ignored before the first listing
	r.Reset(kv.RangeResult{Pairs: []kv.Pair{registered("old", "a", 4), registered("new", "a", 9), registered("other", "b", 5)}})
	nodes := r.Extend([]api.Node{store("b", true)})
	if len(nodes) != 2 || nodes[0].ID != "b" || nodes[1].ID != "a" || nodes[1].Summary.Replica != "new" {
		t.Fatalf("view with registrations: %+v", nodes)
	}
	gone := registered("new", "a", 10)
	r.Apply(kv.Batch{Events: []kv.Event{{Pair: gone, Deleted: true}}})
	if nodes := r.Extend(nil); len(nodes) != 2 || nodes[0].Summary.Replica != "old" {
		t.Errorf("after deletion of the newest registration: %+v", nodes)
	}
}

func registered(replica, node string, revision int64) kv.Pair {
	value, _ := json.Marshal(StoreRecord{Replica: replication.ReplicaID(replica), Node: api.NodeID(node), Address: node + ":1"})
	return kv.Pair{Key: "stores/" + replica, Value: value, Revision: revision}
}
