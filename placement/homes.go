package placement

import (
	"github.com/dykewing/dykewing/api"
)

// Homes finds the workers that one router is home of, by the rule of HomeOf. It
// keeps the routers of the last view by zone, so that a view in which only
// loads changed costs one pass over the nodes, and a worker of another zone
// that has routers costs no hashing. It is not safe for concurrent use.
type Homes struct {
	self     api.NodeID
	location api.Location // of the router itself
	member   bool         // the router itself can be a home
	all      []router
	inZone   map[api.Location][]api.NodeID
}

type router struct {
	id       api.NodeID
	location api.Location
}

// NewHomes starts without a router, not even the own one.
func NewHomes(self api.NodeID) *Homes { return &Homes{self: self} }

// SetNodes takes a view, which is sorted by id; true when the routers that can
// be homes are others than before, so that workers may have moved.
func (h *Homes) SetNodes(nodes []api.Node) bool {
	if h.same(nodes) {
		return false
	}
	h.all, h.inZone, h.member = nil, map[api.Location][]api.NodeID{}, false
	for _, node := range nodes {
		if !canBeHome(node) {
			continue
		}
		h.all = append(h.all, router{id: node.ID, location: node.Location})
		h.inZone[node.Location] = append(h.inZone[node.Location], node.ID)
		if node.ID == h.self {
			h.location, h.member = node.Location, true
		}
	}
	return true
}

func canBeHome(node api.Node) bool { return node.Role == api.RoleRouter && !node.Leaving }

func (h *Homes) same(nodes []api.Node) bool {
	seen := 0
	for _, node := range nodes {
		if !canBeHome(node) {
			continue
		}
		if seen >= len(h.all) || h.all[seen] != (router{id: node.ID, location: node.Location}) {
			return false
		}
		seen++
	}
	return seen == len(h.all)
}

// Mine gives the workers that the router is home of, in their order.
func (h *Homes) Mine(workers []api.Worker) []api.Worker {
	if !h.member {
		return nil
	}
	var mine []api.Worker
	for _, worker := range workers {
		zone, ok := homeZone(worker, h.inZone)
		if !ok || zone != h.location {
			continue
		}
		if home, _ := Choose(string(worker.ID), h.inZone[zone]); home == h.self {
			mine = append(mine, worker)
		}
	}
	return mine
}
