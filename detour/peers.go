package detour

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/placement"
)

// Peers lists the processes of this one's role that may pass a question on: one of its own
// zone first, then one of another by turns, its region's before others, since what cuts
// a process off may cut off its zone. Among equals each process has an order of its own, so
// that those that are cut off together ask different ones.
func Peers(self api.Node, view []api.Node) []api.NodeID {
	type candidate struct {
		id    api.NodeID
		away  int
		score uint64
	}
	var list []candidate
	for _, node := range view {
		if node.ID == self.ID || node.Role != self.Role || node.Suspected || node.Leaving {
			continue
		}
		list = append(list, candidate{node.ID, away(self.Location, node.Location), placement.Score(string(self.ID), node.ID)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	far := slices.IndexFunc(list, func(c candidate) bool { return c.away > 0 })
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

func away(a, b api.Location) int {
	switch {
	case a == b:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
