package placement

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

// CompactMembers chooses the first voters of a group that does not have to survive the loss
// of a zone. They span as few zones as possible, preferably of one region, to limit
// cross-zone replication traffic. Equal zones and the stores within a zone are chosen by
// the lowest number of groups per store, then by rendezvous hashing. It returns false if
// there are fewer stores than replicas.
func CompactMembers(group api.GroupID, stores []Store, replicas int) (replication.Members, bool) {
	var members replication.Members
	rest := candidateStores(stores, nil)
	if len(rest) < replicas {
		return members, false
	}
	var region api.RegionName // of the first zone, preferred for further zones
	for len(members.Voters) < replicas {
		zone := largestZone(group, rest, region, replicas-len(members.Voters))
		if len(members.Voters) == 0 {
			region = zone.Region
		}
		inside := slices.DeleteFunc(slices.Clone(rest), func(store Store) bool { return store.Location != zone })
		for len(inside) > 0 && len(members.Voters) < replicas {
			chosen := bestStore(group, inside, nil, true)
			members.Voters = append(members.Voters, chosen.Replica)
			inside = candidateStores(inside, members.Voters)
		}
		rest = candidateStores(rest, members.Voters)
	}
	slices.Sort(members.Voters)
	return members, true
}

// largestZone returns the zone that holds most of the wanted voters, preferably in the given
// region. Ties are broken by the lowest number of groups per store, then by rendezvous
// hashing.
func largestZone(group api.GroupID, stores []Store, region api.RegionName, wanted int) api.Location {
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
			cmp.Compare(otherRegion(a.zone, region), otherRegion(b.zone, region)),
			cmp.Compare(min(b.stores, wanted), min(a.stores, wanted)),
			cmp.Compare(a.groups*b.stores, b.groups*a.stores),
			cmp.Compare(score(b.zone), score(a.zone)),
			cmp.Compare(a.zone.Region, b.zone.Region), cmp.Compare(a.zone.Zone, b.zone.Zone))
	}).zone
}

// otherRegion returns 0 for a zone of the region, else 1.
func otherRegion(zone api.Location, region api.RegionName) int {
	if zone.Region != region {
		return 1
	}
	return 0
}

// nearestStore chooses a new member of a gathered group: a store in the zone with most of the
// healthy voters among the zones of the candidates.
func nearestStore(group api.GroupID, stores []Store, zones []api.Location) Store {
	highest := 0
	for _, store := range stores {
		highest = max(highest, countOf(zones, store.Location))
	}
	near := slices.DeleteFunc(slices.Clone(stores), func(store Store) bool { return countOf(zones, store.Location) < highest })
	return bestStore(group, near, nil, true)
}
