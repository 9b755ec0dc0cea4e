package detour

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// RelayCandidates lists the processes of this one's role that may relay a query, in order of
// preference. It alternates between the own zone and others, those in the own region first,
// since an outage may affect the whole zone. Ties are broken by a hash that differs per
// process, so that processes isolated together start with different peers.
func RelayCandidates(self api.Node, view []api.Node) []api.NodeID {
	type candidate struct {
		id       api.NodeID
		distance int
		score    uint64
	}
	var list []candidate
	for _, node := range view {
		if node.ID == self.ID || node.Role != self.Role || node.Suspected || node.Leaving {
			continue
		}
		list = append(list, candidate{node.ID, distance(self.Location, node.Location), placement.Score(string(self.ID), node.ID)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	far := slices.IndexFunc(list, func(c candidate) bool { return c.distance > 0 })
	if far < 0 {
		far = len(list)
	}
	ids := make([]api.NodeID, 0, len(list))
	for i := range max(far, len(list)-far) {
		if i < far {
			ids = append(ids, list[i].id)
		}
		if far+i < len(list) {
			ids = append(ids, list[far+i].id)
		}
	}
	return ids
}

func distance(a, b api.Location) int {
	switch {
	case a == b:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
