package main

import (
	"strings"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/table"
)

func TestImportSkipsEqualRowsAndExpectsReadRevisions(t *testing.T) {
	standing := []api.VersionedRow{
		{Row: api.Row{Service: "chat", Place: "old", Weight: 95, BatchAllowance: 8}, Revision: 7},
		{Row: api.Row{Service: "chat", Place: "new", Weight: 5}, Revision: 8},
	}
	lines, err := table.ReadCSV([]byte("service,place,weight\nchat,old,50\nchat,new,5\nchat,third,1\n"))
	if err != nil {
		t.Fatal(err)
	}
	plan := planImport(lines, standing)
	if changed := plan[0]; changed.equal || changed.edit.ExpectedRevision != 7 || changed.edit.Create || changed.text != "weight 95 -> 50" {
		t.Errorf("changed row: %+v", changed)
	}
	if !plan[1].equal {
		t.Errorf("equal row: %+v", plan[1])
	}
	if added := plan[2]; added.equal || !added.edit.Create || !strings.HasPrefix(added.text, "new: ") {
		t.Errorf("new row: %+v", added)
	}
}

func TestZonesCountNodesWithTheRevision(t *testing.T) {
	at := func(zone string, revision int64) api.Node {
		return api.Node{Location: api.Location{Region: "r", Zone: api.ZoneName(zone)}, TableRevision: revision}
	}
	zones := countByZone([]api.Node{at("b", 5), at("a", 6), at("b", 6)}, 6)
	if text := describeZones(zones); text != "r/a 1 of 1 nodes, r/b 1 of 2 nodes" || inForceEverywhere(zones) {
		t.Errorf("got %s, everywhere %v", text, inForceEverywhere(zones))
	}
	if zones[1].Oldest != 5 || inForceEverywhere(nil) {
		t.Errorf("got %+v", zones)
	}
}
