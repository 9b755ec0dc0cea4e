package membership_test

import (
	"testing"
	"time"
)

// startupCost is the cost of starting all members of a zone at once.
type startupCost struct {
	exchanges float64       // mean number started per member
	converged time.Duration // until every member knew every other
}

const startupInterval = 400 * time.Millisecond

func measureStartup(t *testing.T, members int) startupCost {
	t.Helper()
	options := DefaultFleetOptions()
	options.Seed, options.MeasureEvery, options.SummaryInterval = 5, 0, 0
	options.Interval, options.SuspectTimeout = startupInterval, time.Second
	options.Regions, options.Zones, options.RoutersPerZone, options.StoresPerZone = 1, 1, 2, members-2
	fleet := NewFleet(options)
	const observed = 12 * time.Second
	converged, err := runUntil(fleet, observed, func() bool {
		for _, member := range fleet.Members {
			if len(member.Machine.Records()) != members-1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("membership of %d members did not converge: %v", members, err)
	}
	fleet.Simulation.Run(observed - converged)
	cost := startupCost{converged: converged}
	for _, member := range fleet.Members {
		cost.exchanges += float64(member.Traffic.Exchanges) / float64(members)
	}
	return cost
}

// Guards against a quadratic number of exchanges when all members of a zone start at
// once and announce themselves.
func TestStartupCostPerMemberIsIndependentOfZoneSize(t *testing.T) {
	small, large := measureStartup(t, 100), measureStartup(t, 200)
	t.Logf("100 members: %+v; 200 members: %+v", small, large)
	if large.exchanges > 1.1*small.exchanges {
		t.Errorf("%.0f exchanges per member in a zone of 100, %.0f in a zone of 200", small.exchanges, large.exchanges)
	}
	const maxConvergence = 8 * time.Second
	if large.converged > maxConvergence {
		t.Errorf("membership converged after %v, too late", large.converged)
	}
}
