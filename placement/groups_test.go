package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

func testStores(count, zones int) []Store {
	var stores []Store
	for i := range count {
		stores = append(stores, Store{
			Replica:  replication.ReplicaID(fmt.Sprintf("replica-%d", i)),
			Location: api.Location{Zone: api.ZoneName(fmt.Sprintf("zone-%d", i%zones))},
		})
	}
	return stores
}

// Guards against one store becoming a member of all groups and running out of memory.
func TestSpreadMembersAreBalancedAcrossStores(t *testing.T) {
	const groups, replicas = 5, 5
	var stores []Store
	for i := range 10 {
		zone := api.ZoneName("abcd"[i%4 : i%4+1])
		stores = append(stores, Store{Replica: replication.ReplicaID(fmt.Sprint("store-", i)), Location: api.Location{Region: "r", Zone: zone}})
	}
	for group := range api.GroupID(groups) {
		members, ok := SpreadMembers(group, stores, replicas)
		if !ok {
			t.Fatal("no members")
		}
		for i := range stores {
			if slices.Contains(members.Voters, stores[i].Replica) {
				stores[i].Groups++
			}
		}
	}
	for _, store := range stores {
		if store.Groups < 2 || store.Groups > 4 {
			t.Errorf("store %s is a member of %d of %d groups", store.Replica, store.Groups, groups)
		}
	}
}

func TestSpreadMembersUseDistinctZones(t *testing.T) {
	stores := testStores(9, 3)
	for group := range api.GroupID(50) {
		members, ok := SpreadMembers(group, stores, 3)
		if !ok {
			t.Fatal("no members from nine stores for three replicas")
		}
		zones := map[api.ZoneName]bool{}
		for _, store := range stores {
			if slices.Contains(members.Voters, store.Replica) {
				zones[store.Location.Zone] = true
			}
		}
		if len(zones) != 3 {
			t.Fatalf("group %d has voters %v in %d zones, want 3", group, members.Voters, len(zones))
		}
	}
	if _, ok := SpreadMembers(0, stores[:2], 3); ok {
		t.Fatal("got three replicas from two stores")
	}
}

type changeFunc func(GroupView) (replication.Members, bool)

// runReplacement applies changes until there are none and returns the first violated
// invariant: each step changes one replica and never reduces the voters, the healthy
// voters or the copies (including leaving replicas). At the end there are as many healthy
// voters as wanted or available, and no leaving replica remains if they suffice.
func runReplacement(next changeFunc, view GroupView, lost, leaving map[replication.ReplicaID]bool) error {
	view.Lost = func(replica replication.ReplicaID) bool { return lost[replica] }
	view.Leaving = func(replica replication.ReplicaID) bool { return leaving[replica] }
	healthy := func(members replication.Members) int {
		return len(filter(members.Voters, func(id replication.ReplicaID) bool { return !lost[id] && !leaving[id] }))
	}
	copies := func(members replication.Members) int {
		return len(filter(members.Voters, func(id replication.ReplicaID) bool { return !lost[id] }))
	}
	floor := min(len(view.Members.Voters), view.Replicas)
	for range 40 {
		members, ok := next(view)
		if !ok {
			spare := len(candidateStores(view.Stores, view.Members.Voters))
			if healthy(view.Members) < view.Replicas && spare > 0 {
				return fmt.Errorf("stopped at %v with %d spare stores", view.Members, spare)
			}
			if healthy(view.Members) >= view.Replicas && copies(view.Members) > healthy(view.Members) {
				return fmt.Errorf("stopped at %v with a leaving replica", view.Members)
			}
			return nil
		}
		if len(members.Voters) < floor {
			return fmt.Errorf("%v has fewer than %d voters", members, floor)
		}
		if healthy(members) < min(healthy(view.Members), view.Replicas) {
			return fmt.Errorf("%v has fewer healthy voters than %v", members, view.Members)
		}
		if copies(members) < min(copies(view.Members), view.Replicas) {
			return fmt.Errorf("%v has fewer copies than %v", members, view.Members)
		}
		if difference := changedReplicas(view.Members, members); difference != 1 {
			return fmt.Errorf("%v to %v changes %d replicas, want 1", view.Members, members, difference)
		}
		view.Members = members
	}
	return fmt.Errorf("no end after 40 steps at %v", view.Members)
}

func changedReplicas(from, to replication.Members) int {
	role := func(members replication.Members, id replication.ReplicaID) int {
		switch {
		case slices.Contains(members.Voters, id):
			return 2
		case slices.Contains(members.Learners, id):
			return 1
		}
		return 0
	}
	all := slices.Concat(from.Voters, from.Learners, to.Voters, to.Learners)
	slices.Sort(all)
	count := 0
	for _, id := range slices.Compact(all) {
		if role(from, id) != role(to, id) {
			count++
		}
	}
	return count
}

// Guards against the loss of accepted jobs when a leaving replica is removed while a lost one
// is still a voter: one more failure then leaves a single copy.
func TestLeavingReplicaIsRemovedOnlyWhenEnoughCopiesRemain(t *testing.T) {
	stores := testStores(4, 3)
	lostID, leavingID, leaderID, addedID := stores[0].Replica, stores[1].Replica, stores[2].Replica, stores[3].Replica
	stores[1].Leaving = true
	for _, names := range [][2]replication.ReplicaID{{lostID, leavingID}, {leavingID, lostID}} { // independent of their order
		lost := map[replication.ReplicaID]bool{names[0]: true}
		leaving := map[replication.ReplicaID]bool{names[1]: true}
		view := GroupView{
			Self: leaderID, Members: replication.Members{Voters: []replication.ReplicaID{lostID, leavingID, leaderID, addedID}}, Replicas: 3,
			Stores: slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return lost[store.Replica] }),
		}
		if err := runReplacement(NextChange, view, lost, leaving); err != nil {
			t.Error(err)
		}
	}
}

func TestReplacementNeverReducesCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		stores := testStores(rapid.IntRange(replicas, replicas+4).Draw(t, "stores"), 3)
		members, _ := SpreadMembers(0, stores, replicas)
		lost, leaving := map[replication.ReplicaID]bool{}, map[replication.ReplicaID]bool{}
		for _, voter := range members.Voters[1:] {
			if len(lost) < replicas/2 && rapid.Bool().Draw(t, "lost") {
				lost[voter] = true
			} else if rapid.Bool().Draw(t, "leaving") {
				leaving[voter] = true
			}
		}
		live := slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return lost[store.Replica] })
		for i := range live {
			live[i].Leaving = leaving[live[i].Replica]
		}
		view := GroupView{Self: members.Voters[0], Members: members, Stores: live, Replicas: replicas}
		if err := runReplacement(NextChange, view, lost, leaving); err != nil {
			t.Fatal(err)
		}
	})
}

func TestInvariantCheckDetectsRemovalBeforeAddition(t *testing.T) {
	removeFirst := func(view GroupView) (replication.Members, bool) {
		if lost := filter(view.Members.Voters, view.Lost); len(lost) > 0 {
			return view.without(lost[0]), true
		}
		return NextChange(view)
	}
	stores := testStores(4, 3)
	members, _ := SpreadMembers(0, stores, 3)
	lost := map[replication.ReplicaID]bool{members.Voters[1]: true}
	view := GroupView{Self: members.Voters[0], Members: members, Stores: stores, Replicas: 3}
	if runReplacement(removeFirst, view, lost, nil) == nil {
		t.Fatal("removal of a lost replica before its replacement was not detected")
	}
}

// Guards against a new leader that removes the learner which is to replace a lost voter, because it has
// not yet missed that voter itself.
func TestNewLeaderKeepsLearnerOfLostVoter(t *testing.T) {
	stores := testStores(6, 3)
	voters := []replication.ReplicaID{stores[0].Replica, stores[1].Replica, stores[2].Replica, stores[3].Replica, stores[4].Replica}
	silent, learner := voters[4], stores[5].Replica
	no := func(replication.ReplicaID) bool { return false }
	isSilent := func(replica replication.ReplicaID) bool { return replica == silent }
	tests := []struct {
		name          string
		lost, unheard func(replication.ReplicaID) bool
		want          *replication.Members // nil: no change
	}{
		{"a voter was not heard from yet", no, isSilent, nil},
		{"the voter is lost", isSilent, isSilent, &replication.Members{Voters: append(slices.Clone(voters), learner)}},
		{"all voters were heard from", no, no, &replication.Members{Voters: voters}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := NextChange(GroupView{
				Self: voters[0], Members: replication.Members{Voters: voters, Learners: []replication.ReplicaID{learner}},
				Stores: stores, Replicas: 5, Lost: test.lost, Leaving: no, Unheard: test.unheard,
			})
			if ok != (test.want != nil) || ok && changedReplicas(got, *test.want) != 0 {
				t.Errorf("change %t to %+v, want %+v", ok, got, test.want)
			}
		})
	}
}

// Guards against the removal of a live voter while another one is dead without being known to be lost: too
// few copies are left, and the machine that had one may be gone.
func TestLiveVoterIsRemovedOnlyInContactWithOthers(t *testing.T) {
	stores := testStores(5, 3)
	var voters []replication.ReplicaID
	for _, store := range stores[:4] {
		voters = append(voters, store.Replica)
	}
	is := func(ids ...replication.ReplicaID) func(replication.ReplicaID) bool {
		return func(id replication.ReplicaID) bool { return slices.Contains(ids, id) }
	}
	tests := []struct {
		name                   string
		lost, leaving, unheard []replication.ReplicaID
		removed                replication.ReplicaID // empty: no change
	}{
		{"leaving", nil, voters[1:2], nil, voters[1]},
		{"leaving, another may be lost", nil, voters[1:2], voters[2:3], ""},
		{"leaving, it may itself be lost", nil, voters[1:2], voters[1:2], voters[1]},
		{"leaving, another is lost", voters[2:3], voters[1:2], voters[2:3], voters[2]},
		{"one too many", nil, nil, nil, voters[3]},
		{"one too many, another may be lost", nil, nil, voters[1:2], ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := GroupView{
				Self: voters[0], Members: replication.Members{Voters: voters}, Stores: stores, Replicas: 3,
				Lost: is(test.lost...), Leaving: is(test.leaving...), Unheard: is(test.unheard...),
			}
			got, ok := NextChange(view)
			if ok != (test.removed != "") {
				t.Fatalf("change %t to %+v, want removed %q", ok, got, test.removed)
			}
			if ok && (len(got.Voters) != 3 || slices.Contains(got.Voters, test.removed)) && test.name != "one too many" {
				t.Errorf("change to %+v, want without %q", got, test.removed)
			}
		})
	}
}

// Guards against a group that stays without a copy, since the only store for it is being decommissioned:
// the next lost disk would make its jobs unreadable.
func TestDecommissioningStoreIsLastResort(t *testing.T) {
	stores := testStores(4, 3)
	a, b, c, spare := stores[0].Replica, stores[1].Replica, stores[2].Replica, stores[3].Replica
	wiped := Store{Replica: "a-wiped", Location: stores[0].Location, Decommissioning: true}
	leaving := stores[0]
	leaving.Decommissioning = true
	is := func(ids ...replication.ReplicaID) func(replication.ReplicaID) bool {
		return func(id replication.ReplicaID) bool { return slices.Contains(ids, id) }
	}
	tests := []struct {
		name             string
		voters, learners []replication.ReplicaID
		stores           []Store
		lost             []replication.ReplicaID
		want             *replication.Members // nil: no change
	}{
		{"its disk is lost", []replication.ReplicaID{a, b, c}, nil, []Store{wiped, stores[1], stores[2]}, []replication.ReplicaID{a},
			&replication.Members{Voters: []replication.ReplicaID{a, b, c}, Learners: []replication.ReplicaID{wiped.Replica}}},
		{"its new replica has caught up", []replication.ReplicaID{a, b, c}, []replication.ReplicaID{wiped.Replica}, []Store{wiped, stores[1], stores[2]}, []replication.ReplicaID{a},
			&replication.Members{Voters: []replication.ReplicaID{a, b, c, wiped.Replica}}},
		{"the lost replica is still a voter", []replication.ReplicaID{a, b, c, wiped.Replica}, nil, []Store{wiped, stores[1], stores[2]}, []replication.ReplicaID{a},
			&replication.Members{Voters: []replication.ReplicaID{b, c, wiped.Replica}}},
		{"all copies are there", []replication.ReplicaID{b, c, wiped.Replica}, nil, []Store{wiped, stores[1], stores[2]}, nil, nil},
		{"another store came meanwhile", []replication.ReplicaID{a, b, c}, []replication.ReplicaID{wiped.Replica}, []Store{wiped, stores[1], stores[2], stores[3]}, []replication.ReplicaID{a},
			&replication.Members{Voters: []replication.ReplicaID{a, b, c}}},
		{"another store is there", []replication.ReplicaID{a, b, c}, nil, []Store{wiped, stores[1], stores[2], stores[3]}, []replication.ReplicaID{a},
			&replication.Members{Voters: []replication.ReplicaID{a, b, c}, Learners: []replication.ReplicaID{spare}}},
		{"it has its copy", []replication.ReplicaID{a, b, c}, nil, []Store{leaving, stores[1], stores[2]}, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			view := GroupView{
				Self: b, Members: replication.Members{Voters: test.voters, Learners: test.learners}, Stores: test.stores, Replicas: 3,
				Lost: is(test.lost...), Leaving: is(a, wiped.Replica),
			}
			got, ok := NextChange(view)
			if ok != (test.want != nil) || ok && changedReplicas(got, *test.want) != 0 {
				t.Errorf("change %t to %+v, want %+v", ok, got, test.want)
			}
		})
	}
}
