package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// Store is a live machine with a disk, as a candidate for replicas.
type Store struct {
	Replica  replication.ReplicaID
	Location api.Location
	Leaving  bool // takes no new replica
	Groups   int  // replicas that it holds
}

// FirstMembers chooses the first voters of a group: in as many zones as there
// are, there the stores with the fewest groups, and among those by rendezvous. It
// is false while there are fewer stores than replicas.
func FirstMembers(group api.GroupID, stores []Store, replicas int) (replication.Members, bool) {
	var members replication.Members
	rest := takesReplica(stores, nil)
	if len(rest) < replicas {
		return members, false
	}
	var zones []api.Location
	for len(members.Voters) < replicas {
		chosen := best(group, rest, zones, true)
		members.Voters = append(members.Voters, chosen.Replica)
		zones = append(zones, chosen.Location)
		rest = takesReplica(rest, members.Voters)
	}
	slices.Sort(members.Voters)
	return members, true
}

// takesReplica gives the stores that may take a replica besides the members.
func takesReplica(stores []Store, members []replication.ReplicaID) []Store {
	var free []Store
	for _, store := range stores {
		if !store.Leaving && !slices.Contains(members, store.Replica) {
			free = append(free, store)
		}
	}
	return free
}

// best prefers a zone with few of the given locations, then, if byLoad, a store
// with few groups, then the rendezvous score.
func best(group api.GroupID, stores []Store, zones []api.Location, byLoad bool) Store {
	return slices.MinFunc(stores, func(a, b Store) int {
		byZone := cmp.Compare(countOf(zones, a.Location), countOf(zones, b.Location))
		load := 0
		if byLoad {
			load = cmp.Compare(a.Groups, b.Groups)
		}
		return cmp.Or(byZone, load,
			cmp.Compare(replicaScore(group, b.Replica), replicaScore(group, a.Replica)),
			cmp.Compare(a.Replica, b.Replica))
	})
}

func countOf(zones []api.Location, zone api.Location) int {
	count := 0
	for _, other := range zones {
		if other == zone {
			count++
		}
	}
	return count
}

func replicaScore(group api.GroupID, replica replication.ReplicaID) uint64 {
	key := "group/" + strconv.FormatUint(uint64(group), 10)
	return Score(key, api.NodeID(replica))
}

// GroupView is what the leader of a group knows when it looks after its members.
type GroupView struct {
	Group    api.GroupID
	Self     replication.ReplicaID
	Members  replication.Members
	Stores   []Store                                  // live
	Lost     func(replica replication.ReplicaID) bool // gone for longer than is waited
	Leaving  func(replica replication.ReplicaID) bool // its machine is to be emptied
	Replicas int                                      // voters wanted
	Gathered bool                                     // the group has to outlive no zone: newcomers stay near the others
}

// NextChange gives the next members of a group that has lost a replica or has one on a
// machine that is to be emptied, one step at a time: a newcomer learns, votes once it
// has caught up, and only then the lost one goes, so that no step leaves fewer copies than
// the one before. A replica that is to leave goes last, when enough others have a copy. It
// is false when nothing is to be done or can be done.
func NextChange(view GroupView) (replication.Members, bool) {
	lost := filter(view.Members.Voters, view.Lost)
	leaving := filter(view.Members.Voters, func(replica replication.ReplicaID) bool { return view.Leaving(replica) && !view.Lost(replica) })
	healthy := len(view.Members.Voters) - len(lost) - len(leaving)
	if len(view.Members.Learners) > 0 {
		return view.settleLearner(healthy)
	}
	switch {
	case len(view.Members.Voters) > view.Replicas && len(lost) > 0:
		return view.without(lost[0]), true
	case len(view.Members.Voters) > view.Replicas && len(leaving) > 0 && healthy >= view.Replicas:
		// It is a copy until then: one that left while a lost one stayed would leave too few.
		return view.without(leaving[0]), true
	case len(view.Members.Voters) > view.Replicas && len(leaving) == 0:
		return view.without(view.surplus()), true
	case healthy < view.Replicas:
		return view.withLearner()
	}
	return replication.Members{}, false
}

// goes tells whether a replica is lost or is to leave its machine.
func (v GroupView) goes(replica replication.ReplicaID) bool {
	return v.Lost(replica) || v.Leaving(replica)
}

func filter(replicas []replication.ReplicaID, keep func(replication.ReplicaID) bool) []replication.ReplicaID {
	var kept []replication.ReplicaID
	for _, replica := range replicas {
		if keep(replica) {
			kept = append(kept, replica)
		}
	}
	slices.Sort(kept)
	return kept
}

// settleLearner makes the learner vote, or lets it go when it is lost too or not
// needed any more.
func (v GroupView) settleLearner(healthy int) (replication.Members, bool) {
	learner := slices.Min(v.Members.Learners)
	if v.goes(learner) || healthy >= v.Replicas {
		return v.without(learner), true
	}
	members := v.without(learner)
	members.Voters = append(members.Voters, learner)
	slices.Sort(members.Voters)
	return members, true
}

func (v GroupView) without(replica replication.ReplicaID) replication.Members {
	other := func(id replication.ReplicaID) bool { return id != replica }
	return replication.Members{Voters: filter(v.Members.Voters, other), Learners: filter(v.Members.Learners, other)}
}

func (v GroupView) withLearner() (replication.Members, bool) {
	candidates := takesReplica(v.Stores, v.Members.Voters)
	if len(candidates) == 0 {
		return replication.Members{}, false
	}
	members := v.without("")
	newcomer := best(v.Group, candidates, v.healthyZones(), true)
	if v.Gathered {
		newcomer = nearest(v.Group, candidates, v.healthyZones())
	}
	members.Learners = []replication.ReplicaID{newcomer.Replica}
	return members, true
}

func (v GroupView) healthyZones() []api.Location {
	var zones []api.Location
	for _, store := range v.Stores {
		if slices.Contains(v.Members.Voters, store.Replica) && !v.goes(store.Replica) {
			zones = append(zones, store.Location)
		}
	}
	return zones
}

// surplus is the voter to let go when all of too many are alive: never the
// leader, and rather one that shares its zone with another; of a gathered group rather
// one that is alone.
func (v GroupView) surplus() replication.ReplicaID {
	zones := v.healthyZones()
	locations := map[replication.ReplicaID]api.Location{}
	for _, store := range v.Stores {
		locations[store.Replica] = store.Location
	}
	shared := func(a, b replication.ReplicaID) int {
		if v.Gathered {
			a, b = b, a
		}
		return cmp.Compare(countOf(zones, locations[b]), countOf(zones, locations[a]))
	}
	others := filter(v.Members.Voters, func(id replication.ReplicaID) bool { return id != v.Self })
	return slices.MinFunc(others, func(a, b replication.ReplicaID) int {
		return cmp.Or(
			shared(a, b),
			cmp.Compare(replicaScore(v.Group, a), replicaScore(v.Group, b)),
			cmp.Compare(a, b))
	})
}
