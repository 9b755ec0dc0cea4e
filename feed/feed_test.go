package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

var start = time.Unix(1_700_000_000, 0)

const (
	apply    = 4 * time.Second
	longWait = 3750 * time.Millisecond
)

func newZone(members int) []Member {
	var list []Member
	for i := range members {
		list = append(list, Member{ID: api.NodeID(fmt.Sprintf("node-%02d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i), Preferred: i < 5})
	}
	return list
}

// chooserAtRank returns the chooser of the member with the given rank and the members of
// its zone in rank order.
func chooserAtRank(members, rank int) (*Chooser, []Member) {
	sorted := New(NewSettings("", apply, longWait))
	sorted.SetMembers(newZone(members))
	list := sorted.ranked
	c := New(NewSettings(list[rank].ID, apply, longWait))
	c.SetMembers(newZone(members))
	return c, list
}

func TestSourceSelection(t *testing.T) {
	const watcher, follower = 0, 7
	tests := []struct {
		name    string
		members int
		rank    int
		failed  []int // ranks of peers that did not answer; -1 is the service
		want    int   // rank of the peer, -1 the service
	}{
		{"small zone queries the service", 6, 5, nil, -1},
		{"watcher queries the service", 50, watcher, nil, -1},
		{"follower queries a watcher", 50, follower, nil, follower % watchersPerZone},
		{"one watcher failed: follower queries the other", 50, follower, []int{1}, 0},
		{"all watchers failed: follower queries a standby", 50, follower, []int{1, 0}, watchersPerZone + follower%standbysPerZone},
		{"watchers and standbys failed: follower queries the service", 50, follower, []int{1, 0, 2, 3}, -1},
		{"all watchers failed: standby queries the service", 50, watchersPerZone, []int{1, 0}, -1},
		{"service failed: watcher queries the other watcher", 50, watcher, []int{-1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, list := chooserAtRank(test.members, test.rank)
			for _, rank := range test.failed {
				query := Query{}
				if rank >= 0 {
					query.Peer = list[rank]
				}
				c.RecordOutcome(start, query, Unreachable)
			}
			want := Member{}
			if test.want >= 0 {
				want = list[test.want]
			}
			got := c.Next(start)
			if got.Peer != want || got.NotBefore.After(start) {
				t.Errorf("next query goes to %q after %v, want %q immediately", got.Peer.ID, got.NotBefore.Sub(start), want.ID)
			}
		})
	}
}

func TestWatchersArePreferredMembers(t *testing.T) {
	_, list := chooserAtRank(50, 0)
	if !list[0].Preferred || !list[1].Preferred {
		t.Errorf("watchers without spare capacity: %+v", list[:2])
	}
}

func TestFirstQueryToAPeerDoesNotLongPoll(t *testing.T) {
	c, _ := chooserAtRank(50, 7)
	first := c.Next(start)
	if first.Wait != 0 {
		t.Errorf("first query to a peer has a wait of %v, want 0", first.Wait)
	}
	c.RecordOutcome(start, first, Answered)
	if got := c.Next(start); got.Peer != first.Peer || got.Wait != c.settings.MaxStaleness {
		t.Errorf("query after an answer: %+v", got)
	}
	c.RecordOutcome(start, first, Unreachable)
	later := start.Add(unreachableBackoff)
	if got := c.Next(later); got.Peer != first.Peer || got.Wait != 0 {
		t.Errorf("query after a failure: %+v", got)
	}
}

func TestSourceWithEarliestRetryIsUsedWhenAllFailed(t *testing.T) {
	c, list := chooserAtRank(50, 7)
	c.RecordOutcome(start, Query{Peer: list[1]}, Unreachable)
	c.RecordOutcome(start, Query{Peer: list[0]}, Stale)
	c.RecordOutcome(start, Query{Peer: list[2]}, Unreachable)
	c.RecordOutcome(start, Query{Peer: list[3]}, Unreachable)
	c.RecordOutcome(start, Query{}, Unreachable)
	got := c.Next(start)
	if got.Peer != list[0] || got.NotBefore.Sub(start) != staleBackoff {
		t.Errorf("next query %+v does not go to the source with the earliest retry", got)
	}
}

func TestServiceBackoffIsBounded(t *testing.T) {
	c, _ := chooserAtRank(6, 0)
	for range 20 {
		c.RecordOutcome(start, Query{}, Unreachable)
	}
	if got := c.Next(start); !got.ToService() || got.NotBefore.Sub(start) != maxServiceBackoff {
		t.Errorf("next query %+v does not go to the service after the maximum backoff", got)
	}
}

// A removed member is no longer queried, and its failures are forgotten.
func TestRemovedMembersAreForgotten(t *testing.T) {
	c, list := chooserAtRank(50, 7)
	c.RecordOutcome(start, Query{Peer: list[1]}, Unreachable)
	rest := slices.DeleteFunc(newZone(50), func(m Member) bool { return m.ID == list[1].ID })
	c.SetMembers(rest)
	if got := c.Next(start); got.Peer.ID == list[1].ID || got.ToService() {
		t.Errorf("next query %+v does not go to a remaining watcher", got)
	}
	if len(c.sources) != 0 {
		t.Errorf("%d sources kept, want 0", len(c.sources))
	}
}
