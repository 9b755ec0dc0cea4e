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

func zone(members int) []Member {
	var list []Member
	for i := range members {
		list = append(list, Member{ID: api.NodeID(fmt.Sprintf("node-%02d", i)), Address: fmt.Sprintf("10.0.0.%d:1", i), Strong: i < 5})
	}
	return list
}

// ranked gives the chooser of the process at a rank of a zone, and the zone by rank.
func ranked(members, rank int) (*Chooser, []Member) {
	sorted := New(Within("", apply, longWait))
	sorted.Members(zone(members))
	list := sorted.ranked
	c := New(Within(list[rank].ID, apply, longWait))
	c.Members(zone(members))
	return c, list
}

func TestWhoIsAsked(t *testing.T) {
	const watcher, follower = 0, 7
	tests := []struct {
		name    string
		members int
		rank    int
		failed  []int // ranks of peers that did not answer; -1 is the service
		want    int   // rank of the peer, -1 the service
	}{
		{"a small zone asks the service", 6, 5, nil, -1},
		{"a watcher asks the service", 50, watcher, nil, -1},
		{"the others ask a watcher", 50, follower, nil, follower % watchersOfAZone},
		{"the others ask the other watcher", 50, follower, []int{1}, 0},
		{"the others ask a deputy", 50, follower, []int{1, 0}, watchersOfAZone + follower%deputiesOfAZone},
		{"the others ask the service at last", 50, follower, []int{1, 0, 2, 3}, -1},
		{"a deputy asks the service", 50, watchersOfAZone, []int{1, 0}, -1},
		{"a watcher that the service turns away asks the other", 50, watcher, []int{-1}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, list := ranked(test.members, test.rank)
			for _, rank := range test.failed {
				question := Question{}
				if rank >= 0 {
					question.Peer = list[rank]
				}
				c.Ended(start, question, Unreachable)
			}
			want := Member{}
			if test.want >= 0 {
				want = list[test.want]
			}
			got := c.Next(start)
			if got.Peer != want || got.NotBefore.After(start) {
				t.Errorf("asked %q after %v, want %q at once", got.Peer.ID, got.NotBefore.Sub(start), want.ID)
			}
		})
	}
}

func TestWatchersAreStrongMembersFirst(t *testing.T) {
	_, list := ranked(50, 0)
	if !list[0].Strong || !list[1].Strong {
		t.Errorf("the watchers are %+v", list[:2])
	}
}

func TestAPeerThatFailedIsAskedForAnAnswerAtOnceFirst(t *testing.T) {
	c, _ := ranked(50, 7)
	first := c.Next(start)
	if first.Wait != 0 {
		t.Errorf("a peer that has not answered yet may wait %v", first.Wait)
	}
	c.Ended(start, first, Answered)
	if got := c.Next(start); got.Peer != first.Peer || got.Wait != c.settings.Fresh {
		t.Errorf("then %+v", got)
	}
	c.Ended(start, first, Unreachable)
	later := start.Add(unreachablePause)
	if got := c.Next(later); got.Peer != first.Peer || got.Wait != 0 {
		t.Errorf("after a failure %+v", got)
	}
}

func TestWhenAllFailTheSoonestIsAskedAgain(t *testing.T) {
	c, list := ranked(50, 7)
	c.Ended(start, Question{Peer: list[1]}, Unreachable)
	c.Ended(start, Question{Peer: list[0]}, Behind)
	c.Ended(start, Question{Peer: list[2]}, Unreachable)
	c.Ended(start, Question{Peer: list[3]}, Unreachable)
	c.Ended(start, Question{}, Unreachable)
	got := c.Next(start)
	if got.Peer != list[0] || got.NotBefore.Sub(start) != behindPause {
		t.Errorf("%+v", got)
	}
}

func TestATurnedAwayServiceIsAskedAgainWithinHalfASecond(t *testing.T) {
	c, _ := ranked(6, 0)
	for range 20 {
		c.Ended(start, Question{}, Unreachable)
	}
	if got := c.Next(start); !got.OfService() || got.NotBefore.Sub(start) != lastServicePause {
		t.Errorf("%+v", got)
	}
}

// A member that is gone is asked no more, and its failures are forgotten.
func TestMembersThatAreGoneAreForgotten(t *testing.T) {
	c, list := ranked(50, 7)
	c.Ended(start, Question{Peer: list[1]}, Unreachable)
	rest := slices.DeleteFunc(zone(50), func(m Member) bool { return m.ID == list[1].ID })
	c.Members(rest)
	if got := c.Next(start); got.Peer.ID == list[1].ID || got.OfService() {
		t.Errorf("%+v", got)
	}
	if len(c.sources) != 0 {
		t.Errorf("%d sources are kept", len(c.sources))
	}
}
