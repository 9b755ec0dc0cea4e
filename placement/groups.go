package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// Store is a live machine with a disk that can hold replicas.
type Store struct {
	Replica  replication.ReplicaID
	Location api.Location
	Leaving  bool // accepts no new replica
	// Decommissioning stores accept a new replica only if a copy is missing and no other store does.
	Decommissioning bool
	Groups          int // number of replicas held
}

// SpreadMembers chooses the first voters of a group. They span as many zones as possible. In
// a zone, stores are chosen by the lowest number of groups, then by rendezvous hashing. It
// returns false if there are fewer stores than replicas.
func SpreadMembers(group api.GroupID, stores []Store, replicas int) (replication.Members, bool) {
	var members replication.Members
	rest := candidateStores(stores, nil)
	if len(rest) < replicas {
		return members, false
	}
	var zones []api.Location
	for len(members.Voters) < replicas {
		chosen := bestStore(group, rest, zones, true)
		members.Voters = append(members.Voters, chosen.Replica)
		zones = append(zones, chosen.Location)
		rest = candidateStores(rest, members.Voters)
	}
	slices.Sort(members.Voters)
	return members, true
}

// candidateStores returns the stores that accept a replica and are not members.
func candidateStores(stores []Store, members []replication.ReplicaID) []Store {
	var free []Store
	for _, store := range stores {
		if !store.Leaving && !store.Decommissioning && !slices.Contains(members, store.Replica) {
			free = append(free, store)
		}
	}
	return free
}

// lastResortStores returns the decommissioning stores that accept a replica and are not members.
func lastResortStores(stores []Store, members []replication.ReplicaID) []Store {
	var free []Store
	for _, store := range stores {
		if store.Decommissioning && !store.Leaving && !slices.Contains(members, store.Replica) {
			free = append(free, store)
		}
	}
	return free
}

// bestStore prefers the zone that occurs least in zones, then, if byLoad is set, the store
// with the fewest groups, then the highest rendezvous score.
func bestStore(group api.GroupID, stores []Store, zones []api.Location, byLoad bool) Store {
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

// GroupView is the state from which the leader of a group derives membership changes.
type GroupView struct {
	Group    api.GroupID
	Self     replication.ReplicaID
	Members  replication.Members
	Stores   []Store                                  // live stores
	Lost     func(replica replication.ReplicaID) bool // reports a replica down for longer than the timeout
	Leaving  func(replica replication.ReplicaID) bool // reports a replica on a machine being decommissioned
	Unheard  func(replica replication.ReplicaID) bool // reports a voter without recent contact, which may be lost; nil if none is
	Replicas int                                      // target number of voters
	Compact  bool                                     // prefers few zones
}

// NextChange returns the next membership of a group that has a lost or leaving replica, one
// change at a time: a new replica joins as a learner, becomes a voter once it has caught
// up, and only then the old one is removed, so that no step reduces the number of copies.
// Leaving replicas are removed last. A voter that is not lost is only removed after recent contact
// with all others, since one of them may be lost without being known to be. It returns false if no
// change is needed or possible.
func NextChange(view GroupView) (replication.Members, bool) {
	lost := filter(view.Members.Voters, view.Lost)
	leaving := filter(view.Members.Voters, func(replica replication.ReplicaID) bool { return view.Leaving(replica) && !view.Lost(replica) })
	healthy := len(view.Members.Voters) - len(lost) - len(leaving)
	if len(view.Members.Learners) > 0 {
		return view.resolveLearner(healthy)
	}
	switch {
	case len(view.Members.Voters) > view.Replicas && len(lost) > 0:
		return view.without(lost[0]), true
	case len(view.Members.Voters) > view.Replicas && len(leaving) > 0 && healthy >= view.Replicas:
		// A leaving replica is still a copy, so lost replicas are removed before it.
		return view.withoutLive(leaving[0])
	case len(view.Members.Voters) > view.Replicas && len(leaving) == 0:
		return view.withoutLive(view.surplus())
	case healthy < view.Replicas:
		return view.withLearner()
	}
	return replication.Members{}, false
}

// departing reports whether a replica is lost or leaving.
func (v GroupView) departing(replica replication.ReplicaID) bool {
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

// resolveLearner promotes the learner to voter, or removes it if it is departing or no longer
// needed. A new leader keeps the learner of the one before until it has heard from all voters.
func (v GroupView) resolveLearner(healthy int) (replication.Members, bool) {
	learner := slices.Min(v.Members.Learners)
	switch {
	case v.Lost(learner) || v.Leaving(learner) && !v.needsLastResort():
		return v.without(learner), true
	case healthy >= v.Replicas && v.Unheard != nil && slices.ContainsFunc(v.Members.Voters, v.Unheard):
		return replication.Members{}, false
	case healthy >= v.Replicas:
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

// withoutLive removes a voter that is not lost, unless another voter may be.
func (v GroupView) withoutLive(voter replication.ReplicaID) (replication.Members, bool) {
	rest := v.without(voter)
	if v.Unheard != nil && slices.ContainsFunc(rest.Voters, v.Unheard) {
		return replication.Members{}, false
	}
	return rest, true
}

func (v GroupView) withLearner() (replication.Members, bool) {
	candidates := candidateStores(v.Stores, v.Members.Voters)
	if v.needsLastResort() {
		candidates = lastResortStores(v.Stores, v.Members.Voters)
	}
	if len(candidates) == 0 {
		return replication.Members{}, false
	}
	members := v.without("")
	added := bestStore(v.Group, candidates, v.healthyZones(), true)
	if v.Compact {
		added = nearestStore(v.Group, candidates, v.healthyZones())
	}
	members.Learners = []replication.ReplicaID{added.Replica}
	return members, true
}

// needsLastResort reports whether a copy is missing for which there are only decommissioning stores. A
// copy there is one that a leaving voter had: it stays until there is another store.
func (v GroupView) needsLastResort() bool {
	copies := len(v.Members.Voters) - len(filter(v.Members.Voters, v.Lost))
	return copies < v.Replicas && len(candidateStores(v.Stores, v.Members.Voters)) == 0
}

func (v GroupView) healthyZones() []api.Location {
	var zones []api.Location
	for _, store := range v.Stores {
		if slices.Contains(v.Members.Voters, store.Replica) && !v.departing(store.Replica) {
			zones = append(zones, store.Location)
		}
	}
	return zones
}

// surplus returns the voter to remove when there are too many: never the leader, preferably
// one that shares its zone with others, or in a gathered group one that is alone in its
// zone.
func (v GroupView) surplus() replication.ReplicaID {
	zones := v.healthyZones()
	locations := map[replication.ReplicaID]api.Location{}
	for _, store := range v.Stores {
		locations[store.Replica] = store.Location
	}
	shared := func(a, b replication.ReplicaID) int {
		if v.Compact {
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
