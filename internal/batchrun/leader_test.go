package batchrun

import (
	"fmt"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// TestEachWorkerIsFilledByOneGroup: two leaders would each see half of the batch at
// a worker, and both would give way to the same request.
func TestEachWorkerIsFilledByOneGroup(t *testing.T) {
	const groups, workers = 5, 200
	var leaders []*Leader
	for group := range api.GroupID(groups) {
		leaders = append(leaders, &Leader{service: &Service{groups: groups}, group: group})
	}
	filled := make([]int, groups)
	for i := range workers {
		owners := 0
		for group, l := range leaders {
			if l.mine(fmt.Sprint("worker-", i)) {
				owners++
				filled[group]++
			}
		}
		if owners != 1 {
			t.Errorf("worker %d is filled by %d groups", i, owners)
		}
	}
	for group, n := range filled {
		if n < workers/groups/2 {
			t.Errorf("group %d fills %d of %d workers", group, n, workers)
		}
	}
}
