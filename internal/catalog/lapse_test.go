package catalog

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

func TestEntriesThatWentAreKeptOnlyAfterAnOutage(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	const second, short = time.Second, 100 * time.Millisecond
	const limit = 3 * second
	grace := limit - reachMargin
	tests := []struct {
		name string
		play func(o *outages)
		want time.Duration // kept 500 ms after the last answer
	}{
		{"never away", func(o *outages) { o.answered(at(0)); o.answered(at(2 * second)) }, 0},
		{"a watch that broke once", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.answered(at(second + short))
		}, 0},
		{"calls failed for seconds, the last one at once", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.failed(at(4*second-short), at(4*second-short))
			o.answered(at(4 * second))
		}, mostKept},
		{"the way was back soon after the last call that failed, long ago", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.failed(at(2*second), at(3*second))
			o.answered(at(4 * second))
		}, grace - 2500*time.Millisecond},
		{"the way may have been back for all of that time", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.failed(at(second), at(3*second))
			o.answered(at(4 * second))
		}, 0},
		// The process itself stood still: a call that finds no answer fails at its limit.
		{"nothing was heard for long, and no call failed", func(o *outages) { o.answered(at(0)); o.answered(at(6 * second)) }, 0},
		{"the process stood still while a call waited", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(10*second))
			o.answered(at(10*second + short))
		}, 0},
		{"a pause after changes", func(o *outages) { o.answered(at(0)); o.answered(at(4 * second)) }, 0},
		{"away, back, and a watch that broke once", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.failed(at(4*second), at(4*second))
			o.answered(at(4*second + short))
			o.failed(at(4*second+2*short), at(4*second+3*short))
			o.answered(at(4*second + 4*short))
		}, grace - 500*time.Millisecond - 4*short},
		{"away, and back for long", func(o *outages) {
			o.answered(at(0))
			o.failed(at(0), at(second))
			o.failed(at(5*second), at(5*second))
			o.answered(at(6 * second))
			o.answered(at(8 * second))
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := outages{freshness: limit}
			test.play(&o)
			if got := o.keeps(o.answeredAt.Add(500 * time.Millisecond)); got != test.want {
				t.Errorf("kept for %v, want %v", got, test.want)
			}
		})
	}
}

// TestARegistrationThatLapsedStaysUntilItIsBack: the service is away, a's and b's
// entries lapse, a's comes back. Neither goes at once; b goes once its time is over.
func TestARegistrationThatLapsedStaysUntilItIsBack(t *testing.T) {
	service := newFakeService()
	service.put("workers/a", "x", 2)
	service.put("workers/b", "y", 3)
	r := startCatalog(t, service)
	r.await(t, "[]", "[a b]")
	service.watch <- watchEvent{err: errors.New("down")}
	service.setFailing(true)
	for range 8 {
		select {
		case service.watch <- watchEvent{err: errors.New("down")}:
		case <-time.After(patience):
			t.Fatal("no watch")
		}
	}
	gone := func(key string, revision int64) kv.Event {
		return kv.Event{Pair: kv.Pair{Key: "workers/" + key, Revision: revision}, Deleted: true}
	}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 5, Events: []kv.Event{gone("a", 4), gone("b", 5)}}}
	back := kv.Event{Pair: kv.Pair{Key: "workers/a", Value: []byte("x"), Revision: 6}}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 6, Events: []kv.Event{back}}}
	r.await(t, "[]", "[a]")
	if r.wasGone("a") {
		t.Error("a worker that only could not renew its entry was taken for gone")
	}
}

// TestARateLimitIsNoOutage: a service that turns calls away for their number keeps all
// entries whose workers live, so that one that went is gone.
func TestARateLimitIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeService()
		service.put("workers/a", "x", 2)
		r := startCatalog(t, service)
		r.await(t, "[]", "[a]")
		for range 8 {
			service.watch <- watchEvent{err: fmt.Errorf("status 429: %w", kv.ErrLimited)}
		}
		gone := kv.Event{Pair: kv.Pair{Key: "workers/a", Revision: 3}, Deleted: true}
		service.watch <- watchEvent{batch: kv.Batch{Revision: 3, Events: []kv.Event{gone}}}
		synctest.Wait()
		if !r.wasGone("a") {
			t.Error("the worker is still in force")
		}
	})
}

// TestAnEntryThatGoesInQuietTimesIsGoneAtOnce: a worker that left must get nothing.
func TestAnEntryThatGoesInQuietTimesIsGoneAtOnce(t *testing.T) {
	service := newFakeService()
	service.put("workers/a", "x", 2)
	r := startCatalog(t, service)
	r.await(t, "[]", "[a]")
	gone := kv.Event{Pair: kv.Pair{Key: "workers/a", Revision: 3}, Deleted: true}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 3, Events: []kv.Event{gone}}}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 3}} // taken only after the first
	if !r.wasGone("a") {
		t.Error("the worker is still in force")
	}
}
