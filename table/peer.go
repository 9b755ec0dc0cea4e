package table

import (
	"math/rand/v2"

	"github.com/dykewing/dykewing/api"
)

// ChoosePeer returns a random node among the nearest ones whose current table is newer
// than own: the same zone is preferred to the same region, and that to the rest. The
// random choice spreads requests over the peers. It returns false if there is none.
func ChoosePeer(nodes []api.Node, self api.NodeID, location api.Location, own int64, random *rand.Rand) (api.Node, bool) {
	var nearest []api.Node
	best := -1
	for _, node := range nodes {
		if node.ID == self || node.TableRevision <= max(own, 0) {
			continue
		}
		nearness := proximity(node.Location, location)
		if nearness > best {
			nearest, best = nearest[:0], nearness
		}
		if nearness == best {
			nearest = append(nearest, node)
		}
	}
	if len(nearest) == 0 {
		return api.Node{}, false
	}
	return nearest[random.IntN(len(nearest))], true
}

func proximity(a, b api.Location) int {
	switch {
	case a == b:
		return 2
	case a.Region == b.Region:
		return 1
	}
	return 0
}
