package config

import (
	"testing"
	"time"
)

func TestVotersFollowToleratedLosses(t *testing.T) {
	for _, test := range []struct {
		store Store
		want  int
	}{
		{Store{Replicas: 3}, 3}, {Store{Replicas: 3, ToleratedLosses: []int{0, 0, 0}}, 1},
		{Store{ToleratedLosses: []int{1, 0}}, 3}, {Store{ToleratedLosses: []int{0, 2, 1}}, 5},
	} {
		if got := test.store.Voters(); got != test.want {
			t.Errorf("%+v: %d voters", test.store, got)
		}
	}
}

func TestElectionTimeoutScalesWithSmallProcessorShare(t *testing.T) {
	store := Store{ElectionTimeout: 200 * time.Millisecond}
	for _, test := range []struct {
		share float64
		want  time.Duration
	}{
		{0, 200 * time.Millisecond}, {2, 200 * time.Millisecond}, {0.8, 200 * time.Millisecond},
		{0.4, 400 * time.Millisecond}, {0.01, 800 * time.Millisecond},
	} {
		if got := store.ElectionTimeoutAt(test.share); got != test.want {
			t.Errorf("share %v: %v, want %v", test.share, got, test.want)
		}
	}
}

func TestGroupsFollowToleratedLosses(t *testing.T) {
	for _, test := range []struct {
		store Store
		want  int
	}{
		{Store{Groups: 7, Replicas: 3}, 7}, {Store{Replicas: 3}, 1}, {Store{ToleratedLosses: []int{1}}, 1},
		{Store{ToleratedLosses: []int{2, 0}}, 5},
	} {
		if got := test.store.deriveGroups(); got != test.want {
			t.Errorf("%+v: %d groups, want %d", test.store, got, test.want)
		}
	}
}

func TestGatheredOnlyIfNoZoneLossIsTolerated(t *testing.T) {
	for _, test := range []struct {
		losses []int
		want   bool
	}{
		{nil, false}, {[]int{2}, false}, {[]int{2, 0, 0}, true}, {[]int{1, 0}, true},
		{[]int{1, 1, 0}, false}, {[]int{2, 0, 1}, false}, {[]int{0, 0, 0}, true},
	} {
		if got := (Store{ToleratedLosses: test.losses}).ConcentrateVoters(); got != test.want {
			t.Errorf("%v: gathered %t", test.losses, got)
		}
	}
}
