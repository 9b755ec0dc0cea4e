package placement

import (
	"github.com/dykewing/dykewing/api"
)

// Homes determines the workers whose home, as defined by HomeOf, is this router. It
// caches the routers by zone, so that updates that only change loads cost one pass
// over the nodes and workers of other zones are not hashed. It is not safe for
// concurrent use.
type Homes struct {
	self        api.NodeID
	ownLocation api.Location // of this router
	eligible    bool         // this router can be a home
	routers     []router
	inZone      map[api.Location][]api.NodeID
}

type router struct {
	id       api.NodeID
	location api.Location
}

// NewHomes returns a Homes without routers, not even self.
func NewHomes(self api.NodeID) *Homes { return &Homes{self: self} }

// SetNodes replaces the nodes, which must be sorted by ID. It reports whether the
// eligible routers changed, so that workers may have moved.
func (h *Homes) SetNodes(nodes []api.Node) bool {
	if h.unchanged(nodes) {
		return false
	}
	h.routers, h.inZone, h.eligible = nil, map[api.Location][]api.NodeID{}, false
	for _, node := range nodes {
		if !isEligible(node) {
			continue
		}
		h.routers = append(h.routers, router{id: node.ID, location: node.Location})
		h.inZone[node.Location] = append(h.inZone[node.Location], node.ID)
		if node.ID == h.self {
			h.ownLocation, h.eligible = node.Location, true
		}
	}
	return true
}

func isEligible(node api.Node) bool { return node.Role == api.RoleRouter && !node.Leaving }

func (h *Homes) unchanged(nodes []api.Node) bool {
	seen := 0
	for _, node := range nodes {
		if !isEligible(node) {
			continue
		}
		if seen >= len(h.routers) || h.routers[seen] != (router{id: node.ID, location: node.Location}) {
			return false
		}
		seen++
	}
	return seen == len(h.routers)
}

// OwnWorkers returns the workers whose home is this router, in the given order.
func (h *Homes) OwnWorkers(workers []api.Worker) []api.Worker {
	if !h.eligible {
		return nil
	}
	var mine []api.Worker
	for _, worker := range workers {
		zone, ok := homeZone(worker, h.inZone)
		if !ok || zone != h.ownLocation {
			continue
		}
		if home, _ := Choose(string(worker.ID), h.inZone[zone]); home == h.self {
			mine = append(mine, worker)
		}
	}
	return mine
}
