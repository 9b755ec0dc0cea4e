package batchrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/worker"
)

// TestItemsPreferTheLeadersZone guards against items that run in another zone while workers in the
// leader's zone are idle.
func TestItemsPreferTheLeadersZone(t *testing.T) {
	for _, test := range []struct {
		name      string
		zone      string
		near, far int // free slots
		items     int
		standing  fill.Urgency
		wantNear  int // -1: not checked
	}{
		{"enough slots in the zone", "a", 10, 10, 8, fill.Normal, 8},
		{"overflow to other zones", "a", 3, 10, 8, fill.Normal, 3},
		{"no slots in the zone", "a", 0, 10, 8, fill.Normal, 0},
		{"unknown zone", "", 10, 10, 8, fill.Normal, -1},
		{"pressed items", "a", 10, 10, 8, fill.Urgent, -1},
	} {
		l := testLeader(t, 0, 0)
		l.service.zoneWorkers = newZoneWorkers(test.zone)
		var changes []catalog.Change
		for n, zone := range []string{"a", "b", "c", "d"} {
			id := fmt.Sprint("w", n)
			changes = append(changes, catalog.Change{ID: id, Worker: worker.Worker{ID: id, Service: "lm", Address: "127.0.0.1:1", Slots: 12, Zone: zone}})
		}
		l.service.pool.WorkersChanged(changes)
		free := map[string]int{"w0": test.near, "w1": test.far, "w2": test.far, "w3": test.far}
		near := 0
		for n := range test.items {
			ticket, ok := l.takeWorker(time.Unix(0, 0), test.standing, worker.Query{Service: "lm", Filter: func(id string) bool { return free[id] > 0 }})
			if !ok {
				t.Fatalf("%s: no worker for item %d", test.name, n)
			}
			free[ticket.Worker.ID]--
			if ticket.Worker.Zone == "a" {
				near++
			}
			ticket.End()
		}
		if test.wantNear >= 0 && near != test.wantNear {
			t.Errorf("%s: %d of %d items ran in the zone, want %d", test.name, near, test.items, test.wantNear)
		}
	}
}

func TestZoneWorkersExpire(t *testing.T) {
	n, now := newZoneWorkers("a"), time.Unix(0, 0)
	workers := []worker.Worker{{ID: "w0", Zone: "a"}}
	list := func(string) []worker.Worker { return workers }
	if near := n.ids(now, "lm", list); !near["w0"] || len(near) != 1 {
		t.Errorf("%v", near)
	}
	workers = append(workers, worker.Worker{ID: "w1", Zone: "a"}, worker.Worker{ID: "w2", Zone: "b"})
	if near := n.ids(now.Add(zoneCacheTTL), "lm", list); !near["w1"] || near["w2"] {
		t.Errorf("%v", near)
	}
}
