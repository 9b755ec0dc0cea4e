package catalog

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dykewing/dykewing/internal/kv"
)

func TestRemovedEntriesAreRetainedOnlyAfterOutage(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(after time.Duration) time.Time { return start.Add(after) }
	const second, short = time.Second, 100 * time.Millisecond
	const limit = 3 * second
	grace := limit - deliveryMargin
	tests := []struct {
		name string
		play func(o *outageTracker)
		want time.Duration // retention 500 ms after the last answer
	}{
		{"no outage", func(o *outageTracker) { o.recordAnswer(at(0)); o.recordAnswer(at(2 * second)) }, 0},
		{"single failed watch", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordAnswer(at(second + short))
		}, 0},
		{"calls failed for seconds, last one immediately", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordFailure(at(4*second-short), at(4*second-short))
			o.recordAnswer(at(4 * second))
		}, maxRetention},
		{"last failed call started long before the recovery", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordFailure(at(2*second), at(3*second))
			o.recordAnswer(at(4 * second))
		}, grace - 2500*time.Millisecond},
		{"last failed call started before the grace period", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordFailure(at(second), at(3*second))
			o.recordAnswer(at(4 * second))
		}, 0},
		// The process itself was suspended: a call without an answer fails at its timeout.
		{"long silence without a failed call", func(o *outageTracker) { o.recordAnswer(at(0)); o.recordAnswer(at(6 * second)) }, 0},
		{"process suspended during a call", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(10*second))
			o.recordAnswer(at(10*second + short))
		}, 0},
		{"delay after changes", func(o *outageTracker) { o.recordAnswer(at(0)); o.recordAnswer(at(4 * second)) }, 0},
		{"outage, recovery and a single failed watch", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordFailure(at(4*second), at(4*second))
			o.recordAnswer(at(4*second + short))
			o.recordFailure(at(4*second+2*short), at(4*second+3*short))
			o.recordAnswer(at(4*second + 4*short))
		}, grace - 500*time.Millisecond - 4*short},
		{"outage long ago", func(o *outageTracker) {
			o.recordAnswer(at(0))
			o.recordFailure(at(0), at(second))
			o.recordFailure(at(5*second), at(5*second))
			o.recordAnswer(at(6 * second))
			o.recordAnswer(at(8 * second))
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := outageTracker{maxStaleness: limit}
			test.play(&o)
			if got := o.retention(o.lastAnswer.Add(500 * time.Millisecond)); got != test.want {
				t.Errorf("retention %v, want %v", got, test.want)
			}
		})
	}
}

// TestExpiredRegistrationIsRetainedUntilRestored lets the entries of a and b expire during an
// outage and renews that of a: only b is removed, after the retention.
func TestExpiredRegistrationIsRetainedUntilRestored(t *testing.T) {
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
		case <-time.After(testTimeout):
			t.Fatal("timed out waiting for a watch")
		}
	}
	deletion := func(key string, revision int64) kv.Event {
		return kv.Event{Pair: kv.Pair{Key: "workers/" + key, Revision: revision}, Deleted: true}
	}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 5, Events: []kv.Event{deletion("a", 4), deletion("b", 5)}}}
	renewed := kv.Event{Pair: kv.Pair{Key: "workers/a", Value: []byte("x"), Revision: 6}}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 6, Events: []kv.Event{renewed}}}
	r.await(t, "[]", "[a]")
	if r.wasRemoved("a") {
		t.Error("worker that renewed its entry after the outage was removed")
	}
}

// TestRateLimitIsNotAnOutage checks that rejections by a rate limit do not cause retention,
// since a rate-limited service keeps the entries of live workers.
func TestRateLimitIsNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeService()
		service.put("workers/a", "x", 2)
		r := startCatalog(t, service)
		r.await(t, "[]", "[a]")
		for range 8 {
			service.watch <- watchEvent{err: fmt.Errorf("status 429: %w", kv.ErrRateLimited)}
		}
		deletion := kv.Event{Pair: kv.Pair{Key: "workers/a", Revision: 3}, Deleted: true}
		service.watch <- watchEvent{batch: kv.Batch{Revision: 3, Events: []kv.Event{deletion}}}
		synctest.Wait()
		if !r.wasRemoved("a") {
			t.Error("removed worker is still in force")
		}
	})
}

// Guards against sending requests to a worker that left.
func TestRemovedEntryWithoutOutageIsDroppedImmediately(t *testing.T) {
	service := newFakeService()
	service.put("workers/a", "x", 2)
	r := startCatalog(t, service)
	r.await(t, "[]", "[a]")
	deletion := kv.Event{Pair: kv.Pair{Key: "workers/a", Revision: 3}, Deleted: true}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 3, Events: []kv.Event{deletion}}}
	service.watch <- watchEvent{batch: kv.Batch{Revision: 3}} // delivered after the first was applied
	if !r.wasRemoved("a") {
		t.Error("removed worker is still in force")
	}
}
