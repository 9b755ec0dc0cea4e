package config

import "testing"

func TestVotersFollowTheLossesToBeBorne(t *testing.T) {
	for _, each := range []struct {
		store Store
		want  int
	}{
		{Store{Replicas: 3}, 3}, {Store{Replicas: 3, ToleratedLosses: []int{0, 0, 0}}, 1},
		{Store{ToleratedLosses: []int{1, 0}}, 3}, {Store{ToleratedLosses: []int{0, 2, 1}}, 5},
	} {
		if got := each.store.Voters(); got != each.want {
			t.Errorf("%+v: %d voters", each.store, got)
		}
	}
}
