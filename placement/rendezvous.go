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
// the routers of the worker's zone, or among all of them when its zone has none.
func HomeOf(worker api.Worker, routers []api.Node) (api.NodeID, bool) {
	var inZone, anywhere []api.NodeID
	for _, router := range routers {
		if router.Leaving || router.Role != api.RoleRouter {
			continue
		}
		anywhere = append(anywhere, router.ID)
		if router.Location == worker.Location {
			inZone = append(inZone, router.ID)
		}
	}
	if len(inZone) > 0 {
		return Choose(string(worker.ID), inZone)
	}
	return Choose(string(worker.ID), anywhere)
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
