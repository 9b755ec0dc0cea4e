package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/waitorder"
)

const ms = time.Millisecond

var testStart = time.Unix(1_700_000_000, 0)

// busyLine returns a line with a hundred slots, all held for a second each, and the time.
// First attempts of rank 1 arrive at the given rate per second; inTime of them are placed on
// time.
func busyLine(arrivals, inTime int) (*Controller, time.Time) {
	l := &Controller{}
	now := testStart
	for i := range 2000 {
		now = testStart.Add(time.Duration(i) * 10 * ms)
		l.Observe(now, 100, 100, 1)
		for n := i * arrivals / 100; n < (i+1)*arrivals/100; n++ {
			l.RecordArrival(now, waitorder.Rank{Route: 1})
		}
		for n := i * inTime / 100; n < (i+1)*inTime/100; n++ {
			l.RecordPlacement(now, waitorder.Rank{Route: 1}, true)
		}
	}
	return l, now
}

func TestDecide(t *testing.T) {
	type decision struct {
		refuse       bool
		lower, upper time.Duration // bounds of the expected wait
	}
	tests := []struct {
		name             string
		arrivals, inTime int // per second
		use              Request
		ahead            int
		want             decision
	}{
		{"on time behind a few", 150, 90, Request{TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 5, decision{false, 55 * ms, 75 * ms}},
		{"not on time, no slots left for late requests", 150, 100, Request{TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 40, decision{true, 3000 * ms, time.Hour}},
		{"not on time, arrivals below the rate", 50, 50, Request{TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 40, decision{false, 700 * ms, 1000 * ms}},
		{"not on time, short peak", 150, 60, Request{TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 40, decision{false, 900 * ms, 1200 * ms}},
		{"late on arrival, no slots left", 150, 100, Request{TimeToTarget: -ms, TimeToDeadline: 3000 * ms}, 0, decision{true, 3000 * ms, time.Hour}},
		{"late on arrival, slots left", 50, 50, Request{TimeToTarget: -ms, TimeToDeadline: 3000 * ms}, 0, decision{false, 10 * ms, 30 * ms}},
		{"no time left", 50, 50, Request{TimeToTarget: -ms, TimeToDeadline: 0}, 0, decision{true, 0, time.Hour}},
		{"more urgent than other arrivals", 150, 100, Request{Rank: waitorder.Rank{Route: 0}, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 5, decision{false, 55 * ms, 75 * ms}},
		{"less urgent than other arrivals", 150, 100, Request{Rank: waitorder.Rank{Route: 2}, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 10, decision{true, 3000 * ms, time.Hour}},
		{"promised retry", 150, 100, Request{TimeToTarget: -ms, TimeToDeadline: 1500 * ms, Promised: true, Due: 300 * ms}, 0, decision{false, 300 * ms, 301 * ms}},
		{"promised retry, slot too late", 150, 100, Request{TimeToTarget: -ms, TimeToDeadline: 200 * ms, Promised: true, Due: 300 * ms}, 0, decision{true, 300 * ms, 301 * ms}},
		{"barely on time on arrival", 150, 100, Request{Rank: waitorder.Rank{Route: 1}, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 17, decision{true, 0, time.Hour}},
		{"barely on time while queued", 150, 100, Request{Rank: waitorder.Rank{Route: 1}, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms, Queued: true}, 17, decision{false, 150 * ms, 200 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, now := busyLine(test.arrivals, test.inTime)
			if test.use.Rank == (waitorder.Rank{}) && test.name != "more urgent than other arrivals" {
				test.use.Rank = waitorder.Rank{Route: 1}
			}
			v := l.Decide(now, test.use, test.ahead)
			if v.Reject != test.want.refuse || v.ExpectedWait < test.want.lower || v.ExpectedWait > test.want.upper || !v.RateKnown {
				t.Errorf("%+v", v)
			}
			if v.Reject != (v.RetryAfter > 0) {
				t.Errorf("retry after %v", v.RetryAfter)
			}
		})
	}
}

// The rate follows Little's law, independent of how many slots are held.
func TestRate(t *testing.T) {
	tests := []struct {
		name               string
		slots, held, ended int // per 100 ms
		lost               int // slots lost in the last second
		lower, upper       float64
		known              bool
	}{
		{"all slots held", 100, 100, 10, 0, 99, 101, true},
		{"a tenth of the slots held", 100, 10, 1, 0, 99, 101, true},
		{"a third of the slots lost", 100, 100, 10, 33, 65, 69, true},
		{"no request ended", 100, 100, 0, 0, 0, 0, false},
		{"no slot ever held", 100, 0, 0, 0, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := Controller{}
			for i := range 100 {
				l.Observe(testStart.Add(time.Duration(i)*100*ms), test.slots, test.held, test.ended)
			}
			for i := range 10 {
				l.Observe(testStart.Add(10*time.Second+time.Duration(i)*100*ms), test.slots-test.lost, test.held, test.ended)
			}
			if got, known := l.Rate(); got < test.lower || got > test.upper || known != test.known {
				t.Errorf("%.1f, %t", got, known)
			}
		})
	}
}

// An unknown rate must not be treated as low: no request with time left is rejected.
func TestUnknownRateRejectsNothing(t *testing.T) {
	l := Controller{}
	if v := l.Decide(testStart, Request{TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 500); v.Reject || v.RateKnown || v.MaxWait != 3000*ms {
		t.Errorf("%+v", v)
	}
}

// Promised retries are ordered, spaced by the rate of free slots, and claimed oldest first.
func TestPromisedRetriesAreOrdered(t *testing.T) {
	l, now := busyLine(200, 100)
	rank := waitorder.Rank{Route: 1}
	var delays []time.Duration
	for range 30 {
		v := l.Decide(now, Request{Rank: rank, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}, 100)
		if !v.Reject {
			t.Fatalf("%+v", v)
		}
		delays = append(delays, v.RetryAfter)
	}
	for i := 1; i < len(delays); i++ {
		if step := delays[i] - delays[i-1]; step < 95*ms || step > 105*ms {
			t.Errorf("retries spaced by %v at 10 slots per second", step)
		}
	}
	for i := range 5 {
		if at, ok := l.Claim(now.Add(delays[i]), rank, time.Second); !ok || at != now.Add(delays[i]) {
			t.Errorf("retry %d: %v, %t, scheduled after %v", i, at.Sub(now), ok, delays[i])
		}
	}
	if _, ok := l.Claim(now, rank, delays[5]+claimMargin-ms); ok {
		t.Error("claimed a slot due after the deadline")
	}
	if _, ok := l.Claim(now.Add(time.Hour), rank, time.Hour); ok || l.Promises() != 0 {
		t.Errorf("%d promises left after an hour", l.Promises())
	}
}

// Guards against giving a promised slot to a request that arrives before the retry.
func TestPromisesDelayLaterArrivals(t *testing.T) {
	l, now := busyLine(200, 100)
	use := Request{Rank: waitorder.Rank{Route: 1}, TimeToTarget: 200 * ms, TimeToDeadline: 3000 * ms}
	before := l.Evaluate(now, use, 2)
	for range 20 {
		l.Decide(now, use, 100)
	}
	after := l.Evaluate(now.Add(time.Second), use, 2)
	if before.PromisedAhead != 0 || after.PromisedAhead < 2 || after.ExpectedWait <= before.ExpectedWait {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// The schedule is bounded and ordered, and no retry delay is zero or negative.
func TestRetryScheduleIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r retrySchedule
		now := testStart
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pass")) * ms)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0, 1:
				backlog := time.Duration(rapid.IntRange(-10, 9000).Draw(t, "backlog")) * ms
				perSecond := rapid.Float64Range(0.1, 10_000).Draw(t, "rate")
				if delay := r.schedule(now, perSecond, backlog); delay < minRetryAfter || delay < backlog {
					t.Fatalf("retry after %v with a backlog of %v", delay, backlog)
				}
			case 2:
				if at, ok := r.claim(now, now.Add(2*time.Second)); ok && (at.Before(now.Add(-promiseTTL)) || at.After(now.Add(2*time.Second))) {
					t.Fatalf("claimed %v from now", at.Sub(now))
				}
			}
			for i := 1; i < len(r.promises); i++ {
				if r.promises[i].Before(r.promises[i-1]) {
					t.Fatal("promises out of order")
				}
			}
			if len(r.promises) > maxPromises {
				t.Fatalf("%d promises", len(r.promises))
			}
		}
	})
}

func TestInactiveRanksAreEvicted(t *testing.T) {
	l := Controller{}
	for i := range 10_000 {
		l.RecordArrival(testStart.Add(time.Duration(i)*time.Second), waitorder.Rank{Tenant: i})
	}
	if n := len(l.ranks); n > 20 {
		t.Errorf("%d ranks kept", n)
	}
}

// Placements made while requests were queued bound the rate: free slots that cannot be used
// do not count.
func TestRateIsBoundedByPlacements(t *testing.T) {
	tests := []struct {
		name         string
		waits        bool
		placed       int // per 100 ms
		lower, upper float64
	}{
		{"no request queued, few placements", false, 1, 99, 101},
		{"as many placements as free slots", true, 10, 85, 101},
		{"half as many placements as free slots", true, 5, 45, 56},
		{"no placements", true, 0, 0.5, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := Controller{}
			for i := range 100 {
				now := testStart.Add(time.Duration(i) * 100 * ms)
				l.Observe(now, 100, 100, 10)
				l.SetWaiting(now, test.waits)
				for range test.placed {
					l.RecordPlacement(now, waitorder.Rank{}, true)
				}
			}
			if got, _ := l.Rate(); got < test.lower || got > test.upper {
				t.Errorf("%.1f", got)
			}
		})
	}
}
