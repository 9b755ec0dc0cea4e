package occupancy

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

var start = time.Unix(1_700_000_000, 0)

func TestATableSumsTheNewestReports(t *testing.T) {
	var table Table
	table.Put(start, Report{Node: "a", Held: map[string]int{"w": 2, "v": 1}, Waiting: map[string]int{"s": 3}})
	table.Put(start, Report{Node: "b", Held: map[string]int{"w": 4}})
	table.Put(start.Add(time.Millisecond), Report{Node: "a", Held: map[string]int{"w": 1}})
	sum := table.Sum(start.Add(time.Second))
	if sum["w"] != 5 || sum["v"] != 0 || len(sum) != 1 || table.Waiting(start, "s") != 0 {
		t.Errorf("%v, %d wait", sum, table.Waiting(start, "s"))
	}
}

func TestAReportLapses(t *testing.T) {
	var table Table
	table.Put(start, Report{Node: "a", Held: map[string]int{"w": 2}})
	table.Put(start.Add(Life), Report{Node: "b", Held: map[string]int{"w": 4}})
	if sum := table.Sum(start.Add(Life + time.Millisecond)); sum["w"] != 4 {
		t.Errorf("%v", sum)
	}
}

func TestComplete(t *testing.T) {
	frontends := []api.Node{{ID: "a", Role: api.RoleFrontend}, {ID: "b", Role: api.RoleFrontend}, {ID: "s", Role: api.RoleStore}}
	tests := []struct {
		name  string
		told  []api.NodeID
		nodes []api.Node
		want  bool
	}{
		{"nobody", nil, frontends, false},
		{"one of two", []api.NodeID{"a"}, frontends, false},
		{"both", []api.NodeID{"a", "b"}, frontends, true},
		{"the other is suspected", []api.NodeID{"a"}, []api.Node{frontends[0], {ID: "b", Role: api.RoleFrontend, Suspected: true}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			for _, node := range test.told {
				table.Put(start, Report{Node: node})
			}
			if got := table.Complete(start, test.nodes); got != test.want {
				t.Errorf("%t, want %t", got, test.want)
			}
		})
	}
}
