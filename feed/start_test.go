package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Symptom: each of the processes of a fleet that started read the whole state from the
// service. Sequence: the watchers are there and know nothing yet, all others turn to the
// service at once. Cause: nobody gave watchers that had started in the same second time.
func TestAStartingZoneReadsTheStateThroughItsWatchers(t *testing.T) {
	const known = 700 * time.Millisecond // after the start; when watchers have read all
	settings := Within("", apply, longWait)
	if known > settings.Start {
		t.Fatal("the test's watchers are slower than is waited for")
	}
	for _, members := range []int{100, 200} {
		calls := 0
		for rank := range members {
			c, list := ranked(members, rank)
			now := start
			for c.answered.IsZero() {
				question := c.Whole(now)
				now = later(now, question.NotBefore)
				switch {
				case question.OfService():
					calls++
					c.Ended(now, question, Answered)
				case now.Sub(start) < known && question.Peer.ID != list[rank].ID:
					c.Ended(now, question, Behind)
				default:
					c.Ended(now, question, Answered)
				}
			}
		}
		if calls > watchersOfAZone {
			t.Errorf("%d of %d processes read the state from the service", calls, members)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Where watchers stay without an answer of the service, a process that starts asks it in
// time; one whose watchers do not answer at all asks at once.
func TestAStartWaitsForWatchersOnlyAWhile(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		want    time.Duration
	}{
		{"watchers that know nothing yet", Behind, Within("", apply, longWait).Start},
		{"watchers that do not answer", Unreachable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := ranked(50, 7)
			now := start
			for {
				question := c.Whole(now)
				now = later(now, question.NotBefore)
				if question.OfService() {
					break
				}
				c.Ended(now, question, test.outcome)
			}
			if now.Sub(start) != test.want {
				t.Errorf("the service is asked after %v, want %v", now.Sub(start), test.want)
			}
		})
	}
}

// Symptom: each time that the service forgot its history, each of the watchers of a fleet of
// 10,000 workers read all pages of the state, 54 calls of each. All watchers stand in one
// order, and one of them reads the service.
func TestOneWatcherOfTheFleetReadsTheWholeState(t *testing.T) {
	const inZone = 50
	for _, zones := range []int{5, 10} {
		var fleet [][]Member
		for z := range zones {
			members := zone(inZone)
			for i := range members {
				members[i].ID += api.NodeID(fmt.Sprint("-", z))
			}
			fleet = append(fleet, members)
		}
		reads, told := 0, map[api.NodeID]api.NodeID{}
		for z, members := range fleet {
			var abroad [][]Member
			for other, list := range fleet {
				if other != z {
					abroad = append(abroad, list)
				}
			}
			for _, member := range members {
				c := New(Within(member.ID, apply, longWait))
				c.Members(members)
				c.Abroad(abroad)
				if !c.Watching() {
					continue
				}
				question := c.Whole(start)
				if question.OfService() {
					reads++
					continue
				}
				if teller, ok := c.Teller(start); !ok || teller != question.Peer {
					t.Errorf("%s waits for %q and asks %q", member.ID, teller.ID, question.Peer.ID)
				}
				told[member.ID] = question.Peer.ID
				if next := c.Next(start); !next.OfService() {
					t.Errorf("%s asks %q for changes", member.ID, next.Peer.ID)
				}
				c.Ended(start, question, Unreachable)
				for range zones + watchersOfAZone {
					if question = c.Whole(start); !question.OfService() {
						c.Ended(start, question, Unreachable)
					}
				}
				if !question.OfService() || question.NotBefore.After(start) {
					t.Errorf("where no teller answers %s asks %q", member.ID, question.Peer.ID)
				}
			}
		}
		if reads != 1 || len(told) != watchersOfAZone*zones-1 {
			t.Errorf("%d watchers of %d zones read the state from the service, %d from others", reads, zones, len(told))
		}
		for id := range told { // nobody waits for one that waits for it
			seen := map[api.NodeID]bool{}
			for at := id; at != ""; at = told[at] {
				if seen[at] {
					t.Fatalf("a ring at %s", at)
				}
				seen[at] = true
			}
		}
	}
}
