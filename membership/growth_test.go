package membership_test

import (
	"testing"
	"time"
)

// start is what the start of one zone at once costs.
type startCost struct {
	exchanges float64       // begun by a member, mean
	known     time.Duration // until all knew all
}

const heartbeat = 400 * time.Millisecond

func startOf(t *testing.T, members int) startCost {
	t.Helper()
	options := DefaultMembershipOptions()
	options.Seed, options.MeasureEvery, options.SummaryInterval = 5, 0, 0
	options.Interval, options.SuspectTimeout = heartbeat, time.Second
	options.Regions, options.Zones, options.RoutersPerZone, options.StoresPerZone = 1, 1, 2, members-2
	fleet := NewMembership(options)
	const observed = 12 * time.Second
	known, err := within(fleet, observed, func() bool {
		for _, member := range fleet.Members {
			if len(member.Machine.Records()) != members-1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("%d members do not all know all: %v", members, err)
	}
	fleet.Simulation.Run(observed - known)
	cost := startCost{known: known}
	for _, member := range fleet.Members {
		cost.exchanges += float64(member.Traffic.Exchanges) / float64(members)
	}
	return cost
}

// Symptom: in the first seconds of a fleet each process allocated 40 MB for exchanges of
// membership. Sequence: all members of a zone start at once, each joins and tells all
// others at once. Cause: what a start costs all was the square of the zone.
func TestAStartCostsAMemberAsMuchInALargerZone(t *testing.T) {
	once, twice := startOf(t, 100), startOf(t, 200)
	t.Logf("100 members: %+v; 200 members: %+v", once, twice)
	if twice.exchanges > 1.1*once.exchanges {
		t.Errorf("a member begins %.0f exchanges in a zone of 100, %.0f in one of 200", once.exchanges, twice.exchanges)
	}
	const soon = 8 * time.Second // a third of the time that a fleet has before its callers come
	if twice.known > soon {
		t.Errorf("all know all after %v", twice.known)
	}
}
