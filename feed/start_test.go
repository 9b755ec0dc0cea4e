package feed

import (
	"testing"
	"time"
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
			for c.answered = false; !c.answered; {
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

// A watcher that starts reads the state from the other one where that knows it.
func TestAWatcherReadsTheStateFromTheOther(t *testing.T) {
	c, list := ranked(50, 0)
	if got := c.Whole(start); got.Peer != list[1] {
		t.Errorf("asked %q", got.Peer.ID)
	}
	if got := c.Next(start); !got.OfService() {
		t.Errorf("asked %q for changes", got.Peer.ID)
	}
	c.Ended(start, Question{Peer: list[1]}, Behind)
	if got := c.Whole(start); !got.OfService() || got.NotBefore.After(start) {
		t.Errorf("then %+v", got)
	}
}
