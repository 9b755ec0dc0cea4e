package placement

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// GatheredMembers chooses the first voters of a group that has to outlive machines, but no
// zone: in as few zones as hold enough disks, so that an entry crosses to few. Among the
// zones that need no more others it takes those with the fewest groups a store, there the
// stores with the fewest groups, and among those by rendezvous. It is false while there
// are fewer stores than replicas.
func GatheredMembers(group api.GroupID, stores []Store, replicas int) (replication.Members, bool) {
	var members replication.Members
	rest := takesReplica(stores, nil)
	if len(rest) < replicas {
		return members, false
	}
	var region api.RegionName // of the first zone: further ones are of it while it has any
	for len(members.Voters) < replicas {
		zone := widest(group, rest, region, replicas-len(members.Voters))
		if len(members.Voters) == 0 {
			region = zone.Region
		}
		inside := slices.DeleteFunc(slices.Clone(rest), func(store Store) bool { return store.Location != zone })
		for len(inside) > 0 && len(members.Voters) < replicas {
			chosen := best(group, inside, nil, true)
			members.Voters = append(members.Voters, chosen.Replica)
			inside = takesReplica(inside, members.Voters)
		}
		rest = takesReplica(rest, members.Voters)
	}
	slices.Sort(members.Voters)
	return members, true
}

// widest is the zone, of the region if it has one left, that holds most of the wanted
// voters; of equal ones that with the fewest groups a store, then by rendezvous.
func widest(group api.GroupID, stores []Store, region api.RegionName, wanted int) api.Location {
	type load struct {
		zone           api.Location
		stores, groups int
	}
	var zones []load
	for _, store := range stores {
		at := slices.IndexFunc(zones, func(known load) bool { return known.zone == store.Location })
		if at < 0 {
			at = len(zones)
			zones = append(zones, load{zone: store.Location})
		}
		zones[at].stores++
		zones[at].groups += store.Groups
	}
	score := func(zone api.Location) uint64 {
		return replicaScore(group, replication.ReplicaID(zone.Region)+"/"+replication.ReplicaID(zone.Zone))
	}
	return slices.MinFunc(zones, func(a, b load) int {
		return cmp.Or(
			cmp.Compare(abroad(a.zone, region), abroad(b.zone, region)),
			cmp.Compare(min(b.stores, wanted), min(a.stores, wanted)),
			cmp.Compare(a.groups*b.stores, b.groups*a.stores),
			cmp.Compare(score(b.zone), score(a.zone)),
			cmp.Compare(a.zone.Region, b.zone.Region), cmp.Compare(a.zone.Zone, b.zone.Zone))
	}).zone
}

// abroad is 1 for a zone of another region, else 0.
func abroad(zone api.Location, region api.RegionName) int {
	if zone.Region != region {
		return 1
	}
	return 0
}

// nearest is the newcomer of a gathered group: in the zone with most of the healthy
// voters that has a store left, then as best.
func nearest(group api.GroupID, stores []Store, zones []api.Location) Store {
	most := 0
	for _, store := range stores {
		most = max(most, countOf(zones, store.Location))
	}
	near := slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return countOf(zones, store.Location) < most })
	return best(group, near, nil, true)
}
