package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// zonesOf gives stores by the number in each zone; a zone "r/z" is of region r.
func zonesOf(sizes ...int) []Store {
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

// inZones counts a group's voters by zone.
func inZones(stores []Store, members replication.Members) map[api.Location]int {
	counts := map[api.Location]int{}
	for _, store := range stores {
		if slices.Contains(members.Voters, store.Replica) {
			counts[store.Location]++
		}
	}
	return counts
}

func TestAGatheredGroupKeepsToFewZones(t *testing.T) {
	for _, test := range []struct {
		name            string
		sizes           []int
		replicas, zones int
	}{
		{"four zones of three", []int{3, 3, 3, 2}, 5, 2},
		{"a zone with enough", []int{2, 5, 2}, 5, 1},
		{"three replicas", []int{3, 3, 3, 2}, 3, 1},
		{"one store a zone", []int{1, 1, 1, 1, 1}, 5, 5},
		{"one store", []int{1}, 1, 1},
	} {
		stores := zonesOf(test.sizes...)
		for group := range api.GroupID(20) {
			members, ok := GatheredMembers(group, stores, test.replicas)
			if got := len(inZones(stores, members)); !ok || len(members.Voters) != test.replicas || got != test.zones {
				t.Errorf("%s: group %d has %v in %d zones, want %d", test.name, group, members.Voters, got, test.zones)
			}
		}
	}
	if _, ok := GatheredMembers(0, zonesOf(3, 1), 5); ok {
		t.Error("four stores gave five replicas")
	}
}

func TestAGatheredGroupKeepsToARegion(t *testing.T) {
	stores := zonesOf(3, 3, 3, 3)
	for i := range stores[6:] {
		stores[6+i].Location.Region = "other"
	}
	for group := range api.GroupID(20) {
		members, _ := GatheredMembers(group, stores, 5)
		regions := map[api.RegionName]bool{}
		for location := range inZones(stores, members) {
			regions[location.Region] = true
		}
		if len(regions) != 1 {
			t.Errorf("group %d is in the regions %v", group, regions)
		}
	}
}

// Each store holds about as many groups as any other, as where groups are spread.
func TestGatheredGroupsLoadAllStores(t *testing.T) {
	const groups = 5
	stores := zonesOf(3, 3, 3, 2)
	for group := range api.GroupID(groups) {
		members, _ := GatheredMembers(group, stores, 5)
		for i := range stores {
			if slices.Contains(members.Voters, stores[i].Replica) {
				stores[i].Groups++
			}
		}
	}
	for _, store := range stores {
		if store.Groups < 1 || store.Groups > 3 {
			t.Errorf("%s is of %d of %d groups", store.Replica, store.Groups, groups)
		}
	}
}

// What is lost is replaced where the others are, and no step thins the group.
func TestAGatheredGroupStaysTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := zonesOf(4, 4, 4)
		members, _ := GatheredMembers(api.GroupID(rapid.IntRange(0, 9).Draw(t, "group")), stores, 5)
		lost := map[replication.ReplicaID]bool{}
		for _, voter := range members.Voters[1:] {
			if len(lost) < 2 && rapid.Bool().Draw(t, "lost") {
				lost[voter] = true
			}
		}
		live := slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return lost[store.Replica] })
		view := GroupView{Self: members.Voters[0], Members: members, Stores: live, Replicas: 5, Gathered: true}
		var last replication.Members
		watched := func(view GroupView) (replication.Members, bool) {
			next, ok := NextChange(view)
			if ok {
				last = next
			}
			return next, ok
		}
		if err := replaceAll(watched, view, lost, nil); err != nil {
			t.Fatal(err)
		}
		if len(lost) > 0 && len(inZones(stores, last)) > 2 {
			t.Fatalf("after the loss of %v the voters are %v", lost, last.Voters)
		}
	})
}

// survives tells whether a majority stands after the loss of any so many of what a voter
// is in: its own machine, or its zone.
func survives(stores []Store, members replication.Members, losses int, of func(Store) string) bool {
	units := map[string]int{}
	for _, store := range stores {
		if slices.Contains(members.Voters, store.Replica) {
			units[of(store)]++
		}
	}
	sizes := slices.Sorted(func(yield func(int) bool) {
		for _, size := range units {
			if !yield(size) {
				return
			}
		}
	})
	gone := 0
	for _, size := range sizes[max(len(sizes)-losses, 0):] {
		gone += size
	}
	return 2*(len(members.Voters)-gone) > len(members.Voters)
}

// TestWhatEachChoiceSurvives is the table of docs/design/zone-bytes.md.
func TestWhatEachChoiceSurvives(t *testing.T) {
	machine := func(store Store) string { return string(store.Replica) }
	zone := func(store Store) string { return string(store.Location.Zone) }
	stores := zonesOf(3, 3, 3, 2)
	for _, test := range []struct {
		name               string
		choose             func(api.GroupID, []Store, int) (replication.Members, bool)
		replicas           int
		machines           int
		zoneLost           bool
		copiesCrossingMost int // to how many voters an entry crosses from the worst leader
	}{
		{"spread, 3", FirstMembers, 3, 1, true, 2},
		{"gathered, 3", GatheredMembers, 3, 1, false, 0},
		{"spread, 5", FirstMembers, 5, 2, true, 4},
		{"gathered, 5", GatheredMembers, 5, 2, false, 3},
	} {
		members, _ := test.choose(1, stores, test.replicas)
		if !survives(stores, members, test.machines, machine) || survives(stores, members, test.machines+1, machine) {
			t.Errorf("%s: it does not outlive exactly %d machines", test.name, test.machines)
		}
		if got := survives(stores, members, 1, zone); got != test.zoneLost {
			t.Errorf("%s: outlives a zone: %t", test.name, got)
		}
		most := 0
		for _, near := range inZones(stores, members) {
			most = max(most, test.replicas-near)
		}
		if most != test.copiesCrossingMost {
			t.Errorf("%s: an entry crosses to %d voters", test.name, most)
		}
	}
}
