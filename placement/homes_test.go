package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
)

func drawLocation(t *rapid.T) api.Location {
	return api.Location{Region: "r", Zone: api.ZoneName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))}
}

func drawNodes(t *rapid.T) []api.Node {
	nodes := make([]api.Node, rapid.IntRange(0, 12).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = api.Node{
			ID:       api.NodeID(fmt.Sprintf("node-%02d", i)),
			Role:     rapid.SampledFrom([]api.Role{api.RoleRouter, api.RoleRouter, api.RoleStore}).Draw(t, "role"),
			Location: drawLocation(t), Leaving: rapid.Bool().Draw(t, "leaving"),
		}
	}
	return nodes
}

// Mine must agree with HomeOf after each update, and SetNodes must report every update that
// moves a worker.
func TestHomesAgreeWithHomeOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		homes := NewHomes("node-00")
		workers := make([]api.Worker, rapid.IntRange(0, 20).Draw(t, "workers"))
		for i := range workers {
			workers[i] = api.Worker{ID: api.WorkerID(fmt.Sprint("worker-", i)), Location: drawLocation(t)}
		}
		var before []api.Worker
		for range rapid.IntRange(1, 5).Draw(t, "views") {
			nodes := drawNodes(t)
			changed := homes.SetNodes(nodes)
			var want []api.Worker
			for _, worker := range workers {
				if home, ok := HomeOf(worker, nodes); ok && home == "node-00" {
					want = append(want, worker)
				}
			}
			if got := homes.OwnWorkers(workers); !slices.Equal(got, want) {
				t.Fatalf("home of workers %v, want %v", got, want)
			}
			if !changed && !slices.Equal(want, before) {
				t.Fatal("SetNodes did not report an update that moved a worker")
			}
			before = want
		}
	})
}

func TestHomesIgnoreLoadChanges(t *testing.T) {
	nodes := []api.Node{{ID: "a", Role: api.RoleRouter}, {ID: "b", Role: api.RoleRouter}}
	homes := NewHomes("a")
	if !homes.SetNodes(nodes) {
		t.Fatal("SetNodes did not report the first update")
	}
	nodes[1].Summary.Sequence = 7
	nodes[1].TableRevision = 9
	if homes.SetNodes(nodes) {
		t.Fatal("SetNodes reported a load update as a change")
	}
	nodes[1].Leaving = true
	if !homes.SetNodes(nodes) {
		t.Fatal("SetNodes did not report a leaving router")
	}
}
