package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// hiddenStores returns the running stores of other zones that a member's view lacks.
func hiddenStores(fleet *Fleet, holder *Member, except *Member) []api.NodeID {
	view := holder.Machine.Nodes()
	var hidden []api.NodeID
	for _, member := range fleet.Members {
		if member.Node.Role != api.RoleStore || member == except || member.Node.Location == holder.Node.Location {
			continue
		}
		if !slices.ContainsFunc(view, func(node api.Node) bool { return node.ID == member.Node.ID }) {
			hidden = append(hidden, member.Node.ID)
		}
	}
	return hidden
}

// A process that has just started and knows few members must not hide the stores of its zone
// from other zones.
func TestRestartsDoNotHideStoresFromOtherZones(t *testing.T) {
	for seed := range uint64(5) {
		options := DefaultFleetOptions()
		options.Seed, options.MeasureEvery, options.Regions, options.Zones, options.RoutersPerZone, options.StoresPerZone = seed, 0, 1, 3, 6, 3
		fleet := NewFleet(options)
		fleet.Simulation.Run(settleTime)
		for _, member := range fleet.Members {
			member.Process.Crash()
			fleet.Simulation.Run(time.Second)
			member.Process.Restart()
			fleet.Start(member, member.Node.Incarnation+1)
			for range 60 {
				fleet.Simulation.Run(50 * time.Millisecond)
				for _, holder := range fleet.Members {
					if hidden := hiddenStores(fleet, holder, member); holder != member && len(hidden) > 0 {
						t.Fatalf("seed %d, %v after the restart of %s: %s does not see %v", seed, fleet.Simulation.Now(), member.Node.ID, holder.Node.ID, hidden)
					}
				}
			}
		}
	}
}
