// Package placement decides which node is responsible for what, from nothing
// but a list of candidates, so that all who know the same list agree.
package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// Score is the rendezvous weight of a node for a key; the highest is chosen.
// When a node leaves, only the keys it was chosen for move.
func Score(key string, node api.NodeID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// Choose gives the candidate with the highest score for key, and false when
// there is none. Ties go to the smaller id.
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

// HomeOf gives the router that alone admits work to the worker: chosen among
// the routers of the worker's zone. A worker whose zone has none goes to a zone
// first and to a router of it then: a node knows all zones but only its own
// zone's routers in full, so that each router still tells rightly whether it is
// the home itself.
func HomeOf(worker api.Worker, routers []api.Node) (api.NodeID, bool) {
	inZone := map[api.Location][]api.NodeID{}
	for _, router := range routers {
		if canBeHome(router) {
			inZone[router.Location] = append(inZone[router.Location], router.ID)
		}
	}
	zone, ok := homeZone(worker, inZone)
	if !ok {
		return "", false
	}
	return Choose(string(worker.ID), inZone[zone])
}

// homeZone is the worker's own zone if it has routers, else the zone with the
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

// GroupOf gives the group that keeps a tenant's jobs and its claims of
// requests that may not be repeated. groups must be positive.
func GroupOf(tenant api.TenantID, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String(string(tenant)) % uint64(groups))
}

// GroupOfRow gives the group whose leader grants the shares of a row's
// ceilings. groups must be positive.
func GroupOfRow(key api.RowKey, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String("ceiling\x00"+key.String()) % uint64(groups))
}

// WorkerGroup gives the group whose leader fills a worker with batch and gives places
// there. groups must be positive.
func WorkerGroup(worker string, groups int) api.GroupID {
	return api.GroupID(xxhash.Sum64String(worker) % uint64(groups))
}
