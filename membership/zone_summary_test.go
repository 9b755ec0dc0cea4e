package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// hiddenStores returns the stores of other zones that a member's view lacks, except those that
// have just restarted.
func hiddenStores(fleet *Fleet, holder *Member, restarted []*Member) []api.NodeID {
	view := holder.Machine.Nodes()
	var hidden []api.NodeID
	for _, member := range fleet.Members {
		if member.Node.Role != api.RoleStore || slices.Contains(restarted, member) || member.Node.Location == holder.Node.Location {
			continue
		}
		if !slices.ContainsFunc(view, func(node api.Node) bool { return node.ID == member.Node.ID }) {
			hidden = append(hidden, member.Node.ID)
		}
	}
	return hidden
}

// Processes that have just started and know few members must not hide the stores of their zone
// from other zones.
func TestRestartsDoNotHideStoresFromOtherZones(t *testing.T) {
	tests := []struct {
		name     string
		restarts int // at the same time
	}{
		{"one at a time", 1},
		{"two at a time", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				checkRestarts(t, seed, test.restarts)
			}
		})
	}
}

// checkRestarts restarts each member of a fleet, together with those that follow it.
func checkRestarts(t *testing.T, seed uint64, together int) {
	t.Helper()
	options := DefaultFleetOptions()
	options.Seed, options.MeasureEvery, options.Regions, options.Zones, options.RoutersPerZone, options.StoresPerZone = seed, 0, 1, 3, 6, 3
	fleet := NewFleet(options)
	fleet.Simulation.Run(settleTime)
	for i := range fleet.Members {
		restarted := fleet.Members[i:min(i+together, len(fleet.Members))]
		for _, member := range restarted {
			member.Process.Crash()
		}
		fleet.Simulation.Run(time.Second)
		for _, member := range restarted {
			member.Process.Restart()
			fleet.Start(member, member.Node.Incarnation+1)
		}
		for range 60 {
			fleet.Simulation.Run(50 * time.Millisecond)
			for _, holder := range fleet.Members {
				if slices.Contains(restarted, holder) {
					continue
				}
				if hidden := hiddenStores(fleet, holder, restarted); len(hidden) > 0 {
					t.Fatalf("seed %d, after a restart of %s: %s does not see %v", seed, restarted[0].Node.ID, holder.Node.ID, hidden)
				}
			}
		}
	}
}

// A store that has been replaced by another process must be told from its predecessor in other
// zones too.
func TestOtherZonesSeeRestartOfStore(t *testing.T) {
	options := DefaultFleetOptions()
	options.MeasureEvery, options.Regions, options.Zones, options.RoutersPerZone, options.StoresPerZone = 0, 1, 2, 4, 2
	fleet := NewFleet(options)
	fleet.Simulation.Run(settleTime)
	store, holder := fleet.Member("store-00-01"), fleet.Member("router-01-00")
	store.Process.Crash()
	fleet.Simulation.Run(time.Second)
	store.Process.Restart()
	fleet.Start(store, 7)
	_, err := runUntil(fleet, 15*time.Second, func() bool {
		return slices.ContainsFunc(holder.Machine.Nodes(), func(node api.Node) bool { return node.ID == store.Node.ID && node.Incarnation == 7 })
	})
	if err != nil {
		t.Errorf("restarted store in another zone: %v", err)
	}
}
