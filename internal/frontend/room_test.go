package frontend

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/waitorder"
	"github.com/dykewing/dykewing/worker"
)

var testStart = time.Unix(1_700_000_000, 0)

// trackerAfterRequests returns a tracker that has seen sequential requests of the given
// duration, and the time after the last one.
func trackerAfterRequests(service string, requests int, holdTime time.Duration, workers []worker.Occupancy) (*capacityTracker, time.Time) {
	c, now := &capacityTracker{}, testStart
	c.decide(now, service, workers, waitorder.Request{Target: now, Deadline: now.Add(time.Hour)})
	for range requests {
		c.requestSent(now, service)
		now = now.Add(holdTime)
		c.requestEnded(now, service, true)
	}
	return c, now
}

func TestCapacityDecisionWithoutLeader(t *testing.T) {
	const ms = time.Millisecond
	// four workers with six slots, all in use, and more queued requests at each
	occupied := func(more int) (list []worker.Occupancy) {
		for range 4 {
			list = append(list, worker.Occupancy{Worker: worker.Worker{Slots: 6}, OtherInFlight: 6 + more, Usable: true})
		}
		return list
	}
	tests := []struct {
		name        string
		requests    int
		holdTime    time.Duration // how long each request holds its slot
		more        int
		begin, last time.Duration
		refuse      bool
	}{
		{"short queue", 20, 15 * ms, 5, 100 * ms, 800 * ms, false},
		{"late, time left", 20, 15 * ms, 24, -ms, 800 * ms, false},
		{"long queue, slots held long", 20, 400 * ms, 24, 100 * ms, 800 * ms, true},
		{"late, slots held long", 20, 400 * ms, 12, -ms, 500 * ms, true},
		{"unknown rate: waits", 1, 400 * ms, 24, 100 * ms, 800 * ms, false},
		{"no time left", 20, 15 * ms, 0, -ms, -ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, now := trackerAfterRequests("s", test.requests, test.holdTime, occupied(test.more))
			v := c.decide(now, "s", occupied(test.more), waitorder.Request{Target: now.Add(test.begin), Deadline: now.Add(test.last)})
			if v.Reject != test.refuse || v.Reject != (v.RetryAfter > 0) {
				t.Errorf("%+v", v)
			}
		})
	}
}

func TestRejectedRequestsDoNotAffectHoldingTime(t *testing.T) {
	workers := []worker.Occupancy{{Worker: worker.Worker{Slots: 6}, OtherInFlight: 6, Usable: true}}
	c, now := trackerAfterRequests("s", 0, 0, workers)
	for range 50 {
		c.requestSent(now, "s")
		now = now.Add(time.Millisecond)
		c.requestEnded(now, "s", false)
	}
	if v := c.decide(now, "s", workers, waitorder.Request{Target: now.Add(time.Second), Deadline: now.Add(time.Second)}); v.RateKnown {
		t.Errorf("%+v", v)
	}
}

// After a request has waited without success, late requests are refused for
// exhaustedTTL. Requests that can be in time still wait and detect new capacity.
func TestLateRequestsAreRefusedAfterAnExhaustedWait(t *testing.T) {
	c, now := &capacityTracker{}, testStart
	late := func() bool {
		return c.decide(now, "s", nil, waitorder.Request{Target: now.Add(-1), Deadline: now.Add(time.Second)}).Reject
	}
	if late() {
		t.Fatal("refused before any wait was exhausted")
	}
	c.markExhausted(now, "s")
	if !late() {
		t.Error("late request not refused after an exhausted wait")
	}
	if c.decide(now, "s", nil, waitorder.Request{Target: now.Add(time.Second), Deadline: now.Add(time.Second)}).Reject {
		t.Error("request that can be in time is refused")
	}
	if now = now.Add(exhaustedTTL); late() {
		t.Error("still refused after exhaustedTTL")
	}
}

func TestWaitingRequestsCountAsAhead(t *testing.T) {
	workers := []worker.Occupancy{{Worker: worker.Worker{Slots: 6}, OtherInFlight: 6, Usable: true}}
	c, now := trackerAfterRequests("s", 20, 60*time.Millisecond, workers)
	before := c.decide(now, "s", workers, waitorder.Request{Target: now.Add(time.Second), Deadline: now.Add(time.Second)})
	c.addWaiting("s", 5)
	after := c.decide(now, "s", workers, waitorder.Request{Target: now.Add(time.Second), Deadline: now.Add(time.Second)})
	if after.Ahead != before.Ahead+5 || after.ExpectedWait <= before.ExpectedWait {
		t.Errorf("before: %+v, after: %+v", before, after)
	}
}
