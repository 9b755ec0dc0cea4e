package placement

import (
	"cmp"
	"slices"

	"github.com/dykewing/dykewing/api"
)

// RankStores returns the stores sorted by their rendezvous score for key. The first one owns the
// key. Processes with the same stores agree on the order.
func RankStores(key string, nodes []api.Node) []api.Node {
	stores := slices.DeleteFunc(slices.Clone(nodes), func(node api.Node) bool { return node.Role != api.RoleStore })
	SortByScore(key, stores)
	return stores
}

// SortByScore sorts nodes by their rendezvous score for key, the highest first.
func SortByScore(key string, nodes []api.Node) {
	slices.SortFunc(nodes, func(a, b api.Node) int {
		return cmp.Or(cmp.Compare(Score(key, b.ID), Score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
}
