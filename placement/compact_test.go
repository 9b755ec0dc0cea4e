package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// storesInZones returns stores in zones a, b, ... of the given sizes, all in region r.
func storesInZones(sizes ...int) []Store {
	var stores []Store
	for zone, size := range sizes {
		for n := range size {
			stores = append(stores, Store{
				Replica:  replication.ReplicaID(fmt.Sprintf("%c%d", 'a'+zone, n)),
				Location: api.Location{Region: "r", Zone: api.ZoneName(fmt.Sprintf("%c", 'a'+zone))},
			})
		}
	}
	return stores
}

// votersByZone counts a group's voters by zone.
func votersByZone(stores []Store, members replication.Members) map[api.Location]int {
	counts := map[api.Location]int{}
	for _, store := range stores {
		if slices.Contains(members.Voters, store.Replica) {
			counts[store.Location]++
		}
	}
	return counts
}

func TestCompactMembersUseFewZones(t *testing.T) {
	for _, test := range []struct {
		name            string
		sizes           []int
		replicas, zones int
	}{
		{"four zones of three", []int{3, 3, 3, 2}, 5, 2},
		{"one zone is large enough", []int{2, 5, 2}, 5, 1},
		{"three replicas", []int{3, 3, 3, 2}, 3, 1},
		{"one store per zone", []int{1, 1, 1, 1, 1}, 5, 5},
		{"one store", []int{1}, 1, 1},
	} {
		stores := storesInZones(test.sizes...)
		for group := range api.GroupID(20) {
			members, ok := CompactMembers(group, stores, test.replicas)
			if got := len(votersByZone(stores, members)); !ok || len(members.Voters) != test.replicas || got != test.zones {
				t.Errorf("%s: group %d has %v in %d zones, want %d", test.name, group, members.Voters, got, test.zones)
			}
		}
	}
	if _, ok := CompactMembers(0, storesInZones(3, 1), 5); ok {
		t.Error("got five replicas from four stores")
	}
}

func TestCompactMembersShareARegion(t *testing.T) {
	stores := storesInZones(3, 3, 3, 3)
	for i := range stores[6:] {
		stores[6+i].Location.Region = "other"
	}
	for group := range api.GroupID(20) {
		members, _ := CompactMembers(group, stores, 5)
		regions := map[api.RegionName]bool{}
		for location := range votersByZone(stores, members) {
			regions[location.Region] = true
		}
		if len(regions) != 1 {
			t.Errorf("group %d spans regions %v", group, regions)
		}
	}
}

func TestCompactGroupsAreBalancedAcrossStores(t *testing.T) {
	const groups = 5
	stores := storesInZones(3, 3, 3, 2)
	for group := range api.GroupID(groups) {
		members, _ := CompactMembers(group, stores, 5)
		for i := range stores {
			if slices.Contains(members.Voters, stores[i].Replica) {
				stores[i].Groups++
			}
		}
	}
	for _, store := range stores {
		if store.Groups < 1 || store.Groups > 3 {
			t.Errorf("store %s is a member of %d of %d groups", store.Replica, store.Groups, groups)
		}
	}
}

// Replacements stay in the zones of the group, and no step reduces its copies.
func TestReplacementKeepsGroupCompact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := storesInZones(4, 4, 4)
		members, _ := CompactMembers(api.GroupID(rapid.IntRange(0, 9).Draw(t, "group")), stores, 5)
		lost := map[replication.ReplicaID]bool{}
		for _, voter := range members.Voters[1:] {
			if len(lost) < 2 && rapid.Bool().Draw(t, "lost") {
				lost[voter] = true
			}
		}
		live := slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return lost[store.Replica] })
		view := GroupView{Self: members.Voters[0], Members: members, Stores: live, Replicas: 5, Compact: true}
		var last replication.Members
		recordLast := func(view GroupView) (replication.Members, bool) {
			next, ok := NextChange(view)
			if ok {
				last = next
			}
			return next, ok
		}
		if err := runReplacement(recordLast, view, lost, nil); err != nil {
			t.Fatal(err)
		}
		if len(lost) > 0 && len(votersByZone(stores, last)) > 2 {
			t.Fatalf("voters span too many zones after the loss of %v: %v", lost, last.Voters)
		}
	})
}

// hasMajorityAfter reports whether a majority of the voters remains after the loss of any
// given number of failure domains. domain returns the failure domain of a store.
func hasMajorityAfter(stores []Store, members replication.Members, losses int, domain func(Store) string) bool {
	domains := map[string]int{}
	for _, store := range stores {
		if slices.Contains(members.Voters, store.Replica) {
			domains[domain(store)]++
		}
	}
	sizes := slices.Sorted(func(yield func(int) bool) {
		for _, size := range domains {
			if !yield(size) {
				return
			}
		}
	})
	lost := 0
	for _, size := range sizes[max(len(sizes)-losses, 0):] {
		lost += size
	}
	return 2*(len(members.Voters)-lost) > len(members.Voters)
}

// The cases are the table in docs/design/zone-bytes.md.
func TestFailureToleranceOfPlacements(t *testing.T) {
	machine := func(store Store) string { return string(store.Replica) }
	zone := func(store Store) string { return string(store.Location.Zone) }
	stores := storesInZones(3, 3, 3, 2)
	for _, test := range []struct {
		name               string
		choose             func(api.GroupID, []Store, int) (replication.Members, bool)
		replicas           int
		machines           int
		survivesZone       bool
		maxCrossZoneCopies int // voters in other zones, for the worst leader
	}{
		{"spread, 3", SpreadMembers, 3, 1, true, 2},
		{"gathered, 3", CompactMembers, 3, 1, false, 0},
		{"spread, 5", SpreadMembers, 5, 2, true, 4},
		{"gathered, 5", CompactMembers, 5, 2, false, 3},
	} {
		members, _ := test.choose(1, stores, test.replicas)
		if !hasMajorityAfter(stores, members, test.machines, machine) || hasMajorityAfter(stores, members, test.machines+1, machine) {
			t.Errorf("%s: does not survive exactly %d machine failures", test.name, test.machines)
		}
		if got := hasMajorityAfter(stores, members, 1, zone); got != test.survivesZone {
			t.Errorf("%s: survives a zone failure: %t", test.name, got)
		}
		crossZone := 0
		for _, near := range votersByZone(stores, members) {
			crossZone = max(crossZone, test.replicas-near)
		}
		if crossZone != test.maxCrossZoneCopies {
			t.Errorf("%s: %d copies cross zones", test.name, crossZone)
		}
	}
}
