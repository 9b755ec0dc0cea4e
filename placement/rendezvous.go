// Package placement assigns responsibilities to nodes. Assignments are a function
// of the list of candidates alone, so that processes with the same list agree.
package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Score returns the rendezvous hashing score of a node for a key. The node with the
// highest score is chosen, so that only the keys of a removed node move.
func Score(key string, node api.NodeID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// Choose returns the candidate with the highest score for key, or false without
// candidates. Ties go to the smaller ID.
func Choose(key string, candidates []api.NodeID) (api.NodeID, bool) {
	var best api.NodeID
	var bestScore uint64
	for i, candidate := range candidates {
		score := Score(key, candidate)
		if i == 0 || score > bestScore || (score == bestScore && candidate < best) {
			best, bestScore = candidate, score
		}
	}
	return best, len(candidates) > 0
}

// HomeOf returns the home of a worker, the only router that admits requests to it:
// one of the routers in the worker's zone. If the zone has none, first a zone and
// then one of its routers is chosen. Since a node knows all zones but only the
// routers of its own zone in full, every router can decide correctly whether it is
// the home itself.
func HomeOf(worker api.Worker, routers []api.Node) (api.NodeID, bool) {
	inZone := map[api.Location][]api.NodeID{}
	for _, router := range routers {
		if isEligible(router) {
			inZone[router.Location] = append(inZone[router.Location], router.ID)
		}
	}
	zone, ok := homeZone(worker, inZone)
	if !ok {
		return "", false
	}
	return Choose(string(worker.ID), inZone[zone])
}

// homeZone returns the worker's zone if it has routers, else the zone with the
// highest score.
func homeZone(worker api.Worker, inZone map[api.Location][]api.NodeID) (api.Location, bool) {
	if len(inZone[worker.Location]) > 0 {
		return worker.Location, true
	}
	var best api.Location
	var bestName api.NodeID
	var bestScore uint64
	for location := range inZone {
		name := api.NodeID(location.Region) + "/" + api.NodeID(location.Zone)
		score := Score(string(worker.ID), name)
		if bestName == "" || score > bestScore || (score == bestScore && name < bestName) {
			best, bestName, bestScore = location, name, score
		}
	}
	return best, bestName != ""
}

// TenantGroup returns the group that stores a tenant's jobs and its claims on requests
// that are not repeatable. groups must be positive.
func TenantGroup(tenant api.TenantID, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String(string(tenant)) % uint64(groups))
}

// RowGroup returns the group whose leader grants the shares of a row's ceilings.
// groups must be positive.
func RowGroup(key api.RowKey, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String("ceiling\x00"+key.String()) % uint64(groups))
}

// WorkerGroup returns the group whose leader schedules batch at a worker and grants its
// slots. groups must be positive.
func WorkerGroup(worker string, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String(worker) % uint64(groups))
}
