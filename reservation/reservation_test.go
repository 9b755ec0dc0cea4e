package reservation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/waitorder"
)

var start = time.Unix(1_700_000_000, 0)

func TestGrantCountsUntilReported(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, InFlight: map[string]int{"w": 2}})
	grant := b.Grant(start, "f", "w")
	if n := b.InFlight("w"); n != 3 {
		t.Fatalf("%d requests online after the grant, want 3", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 2, LastGrant: grant - 1, InFlight: map[string]int{"w": 1}})
	if n := b.InFlight("w"); n != 2 {
		t.Errorf("%d requests online after a report without the grant, want 2", n)
	}
	b.Report(start, Report{Node: "f", Sequence: 4, LastGrant: grant, InFlight: map[string]int{"w": 2}})
	b.Report(start, Report{Node: "f", Sequence: 3, LastGrant: grant, InFlight: map[string]int{"w": 9}})
	if n := b.InFlight("w"); n != 2 {
		t.Errorf("%d requests online after a report with the grant and an older report, want 2", n)
	}
}

func TestReportsAndGrantsExpire(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 1, InFlight: map[string]int{"w": 2}})
	b.Grant(start.Add(reportTTL), "f", "w")
	b.Expire(start.Add(reportTTL))
	if n := b.InFlight("w"); n != 3 {
		t.Errorf("%d requests online before expiry, want 3", n)
	}
	b.Expire(start.Add(reportTTL + time.Millisecond))
	if n := b.InFlight("w"); n != 1 {
		t.Errorf("%d requests online after the report expired, want 1", n)
	}
	b.Expire(start.Add(reportTTL + grantTTL + time.Millisecond))
	if n := b.InFlight("w"); n != 0 {
		t.Errorf("%d requests online after the grant expired, want 0", n)
	}
}

// Sequence numbers start from the clock, so that reports of a restarted frontend are newer.
func TestReportOfRestartedFrontendIsAccepted(t *testing.T) {
	b := New()
	b.Report(start, Report{Node: "f", Sequence: 100, InFlight: map[string]int{"w": 5}})
	b.Report(start, Report{Node: "f", Sequence: 200})
	if n := b.InFlight("w"); n != 0 {
		t.Errorf("%d requests online, want 0", n)
	}
}

// The count must never be lower than the requests in flight, even if reports are lost or
// reordered, as long as nothing expires.
func TestOnlineCountIsNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		held := map[api.NodeID]map[string]int{"f": {}, "g": {}}
		seen, sequence := map[api.NodeID]uint64{}, uint64(0)
		inFlight := []Report{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.SampledFrom([]api.NodeID{"f", "g"}).Draw(t, "node")
			worker := rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a slot is granted and used
				seen[node] = b.Grant(start, node, worker)
				held[node][worker]++
			case 1: // a request ends
				if held[node][worker] > 0 {
					held[node][worker]--
				}
			case 2: // a report is sent
				sequence++
				report := Report{Node: node, Sequence: sequence, LastGrant: seen[node], InFlight: map[string]int{}}
				for id, n := range held[node] {
					report.InFlight[id] = n
				}
				inFlight = append(inFlight, report)
			case 3: // a report arrives or is lost
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
					if rapid.Bool().Draw(t, "arrives") {
						b.Report(start, inFlight[i])
					}
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			}
			for _, id := range []string{"v", "w"} {
				if n := held["f"][id] + held["g"][id]; b.InFlight(id) < n {
					t.Fatalf("worker %s: %d requests counted, %d in flight", id, b.InFlight(id), n)
				}
			}
		}
	})
}

func TestQueueEstimatesWaitFromRequestsAhead(t *testing.T) {
	const ms = time.Millisecond
	var q Queue
	for i := range 101 { // 100 slots per second become free
		q.Controller.Observe(start.Add(time.Duration(i)*10*ms), 100, 100, 1)
	}
	now := start.Add(time.Second)
	wait := func(rank int, begin time.Duration) *Waiter {
		return NewWaiter(now, "f", Request{Rank: waitorder.Rank{Route: rank}, TimeToTarget: begin, TimeToDeadline: 3 * time.Second})
	}
	for range 50 {
		q.Add(wait(1, 200*ms))
	}
	tests := []struct {
		name     string
		request  *Waiter
		min, max time.Duration
	}{
		{"ahead of all", wait(0, 200*ms), 5 * ms, 40 * ms},
		{"behind all", wait(2, 200*ms), 400 * ms, 1200 * ms},
		{"late request", wait(1, -ms), 400 * ms, 1200 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := q.Decide(now, test.request).ExpectedWait; got < test.min || got > test.max {
				t.Errorf("expected wait %v is out of range", got)
			}
		})
	}
	urgent := wait(0, 300*ms)
	q.Add(urgent)
	if first := q.Sorted(now)[0]; first != urgent {
		t.Errorf("the most urgent request is not first")
	}
	if !q.Remove(urgent) || q.Remove(urgent) || q.Len() != 50 {
		t.Errorf("%d requests wait after removal, want 50", q.Len())
	}
}

func TestEndedCountsFinishedRequests(t *testing.T) {
	tests := []struct {
		name    string
		granted int // grants at w
		seen    int // of these, included in the second report
		held    map[string]int
		want    int
	}{
		{"none", 0, 0, map[string]int{"w": 3}, 0},
		{"one of three", 0, 0, map[string]int{"w": 2}, 1},
		{"all", 0, 0, nil, 3},
		{"one granted and one ended", 1, 1, map[string]int{"w": 3}, 1},
		{"one granted but not yet reported", 1, 0, map[string]int{"w": 3}, 0},
		{"one started without a grant", 0, 0, map[string]int{"w": 4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New()
			b.Report(start, Report{Node: "f", Sequence: 1, InFlight: map[string]int{"w": 3}})
			seen := uint64(0)
			for i := range test.granted {
				if grant := b.Grant(start, "f", "w"); i < test.seen {
					seen = grant
				}
			}
			b.Report(start, Report{Node: "f", Sequence: 2, LastGrant: seen, InFlight: test.held})
			if got := b.TakeEnded()["w"]; got != test.want {
				t.Errorf("unexpected number of ended requests: %d", got)
			}
			if got := b.TakeEnded()["w"]; got != 0 {
				t.Errorf("%d requests ended on the second call, want 0", got)
			}
		})
	}
}

// saturatedQueue returns a queue for 100 slots that are all in use for one second each, with
// arrivals requests per second.
func saturatedQueue(arrivals int) (*Queue, time.Time) {
	q := &Queue{}
	now := start
	for i := range 1500 {
		now = start.Add(time.Duration(i) * 10 * time.Millisecond)
		q.Controller.Observe(now, 100, 100, 1)
		for n := i * arrivals / 100; n < (i+1)*arrivals/100; n++ {
			q.Controller.RecordArrival(now, waitorder.Rank{})
		}
		q.Controller.RecordPlacement(now, waitorder.Rank{}, true)
	}
	return q, now
}

func TestRequestsThatCannotBeServedAreRejected(t *testing.T) {
	q, now := saturatedQueue(200)
	for range 30 {
		q.Add(NewWaiter(now, "f", Request{TimeToTarget: 200 * time.Millisecond, TimeToDeadline: 3 * time.Second}))
	}
	refused := q.Shed(now)
	if q.Len() < 18 || q.Len() > 20 || len(refused)+q.Len() != 30 {
		t.Errorf("%d requests wait and %d were rejected, want 18 to 20 of 30 to wait", q.Len(), len(refused))
	}
	for _, r := range refused {
		if r.Decision.RetryAfter <= 0 {
			t.Errorf("rejected without a retry delay: %+v", r.Decision)
		}
	}
	if refused := q.Shed(now.Add(201 * time.Millisecond)); len(refused) == 0 || q.Len() != 0 {
		t.Errorf("%d late requests still wait, want 0", q.Len())
	}
}

// A returning request precedes new ones once its promised slot is due, and keeps the promise
// when its attempt queues again.
func TestReturningRequestGoesFirstWhenDue(t *testing.T) {
	q, now := saturatedQueue(200)
	for range 30 {
		q.Add(NewWaiter(now, "f", Request{TimeToTarget: 200 * time.Millisecond, TimeToDeadline: 3 * time.Second}))
	}
	verdict := q.Decide(now, NewWaiter(now, "f", Request{TimeToTarget: 200 * time.Millisecond, TimeToDeadline: 3 * time.Second}))
	if !verdict.Reject || verdict.RetryAfter <= 0 {
		t.Fatalf("want a rejection with a retry delay, got %+v", verdict)
	}
	later := now.Add(verdict.RetryAfter)
	back := NewWaiter(later, "f", Request{TimeToTarget: -time.Millisecond, TimeToDeadline: 2 * time.Second, Returning: true})
	q.RecordArrival(later, back)
	if v := q.Decide(later, back); v.Reject {
		t.Fatalf("returning request was rejected: %+v", v)
	}
	early := q.countAhead(now, NewWaiter(now, "f", Request{TimeToTarget: verdict.RetryAfter + time.Second, TimeToDeadline: 3 * time.Second}))
	q.Add(back)
	if q.countAhead(now, NewWaiter(now, "f", Request{TimeToTarget: verdict.RetryAfter + time.Second, TimeToDeadline: 3 * time.Second})) != early+1 {
		t.Error("a promise that is due earlier does not count as ahead")
	}
	q.Add(NewWaiter(later, "f", Request{TimeToTarget: time.Millisecond, TimeToDeadline: 3 * time.Second}))
	if q.Sorted(later)[0] != back {
		t.Error("a new request precedes the returning one")
	}
	answer := q.Full(later, back)
	if answer.Promise == nil {
		t.Fatalf("answer without promise: %+v", answer)
	}
	again := NewWaiter(later, "f", Request{TimeToTarget: -time.Millisecond, TimeToDeadline: time.Second, Returning: true, Requeued: true, Promise: answer.Promise})
	q.RecordArrival(later, again)
	if again.Order.Promised != back.Order.Promised {
		t.Errorf("promised %v, want %v", again.Order.Promised, back.Order.Promised)
	}
}

// Requests that queue again and probes do not count as new arrivals.
func TestArrivalRateCountsOnlyNewCallers(t *testing.T) {
	q, now := saturatedQueue(50)
	before := q.Controller.Evaluate(now, overloadRequest(now, NewWaiter(now, "f", Request{Rank: waitorder.Rank{Route: 1}, TimeToTarget: time.Second, TimeToDeadline: time.Second}), false), 0).Rate
	for range 100 {
		q.RecordArrival(now, NewWaiter(now, "f", Request{Requeued: true, TimeToTarget: time.Second, TimeToDeadline: time.Second}))
		q.Full(now, NewWaiter(now, "f", Request{TimeToTarget: time.Second, TimeToDeadline: time.Second}))
	}
	after := q.Controller.Evaluate(now, overloadRequest(now, NewWaiter(now, "f", Request{Rank: waitorder.Rank{Route: 1}, TimeToTarget: time.Second, TimeToDeadline: time.Second}), false), 0).Rate
	if before != after || before < 40 || before > 60 {
		t.Errorf("rate left for later ranks is %.1f per second, was %.1f, want 40 to 60 unchanged", after, before)
	}
}

// A returning request has no further attempt, so it is rejected only when no slot is
// expected in time.
func TestReturningRequestWaitsWhereNewOneIsRejected(t *testing.T) {
	q, now := saturatedQueue(50) // leaves 50 slots per second
	for range 50 {
		q.Add(NewWaiter(now, "f", Request{TimeToTarget: time.Millisecond, TimeToDeadline: 3 * time.Second}))
	}
	late := func(returned bool) bool {
		return q.Decide(now, NewWaiter(now, "f", Request{TimeToTarget: -time.Millisecond, TimeToDeadline: 1500 * time.Millisecond, Returning: returned})).Reject
	}
	if !late(false) || late(true) {
		t.Errorf("rejected: new request %t, returning request %t; want true, false", late(false), late(true))
	}
	for range 50 {
		q.Add(NewWaiter(now, "f", Request{TimeToTarget: time.Millisecond, TimeToDeadline: 3 * time.Second}))
	}
	if !late(true) {
		t.Error("a returning request waits although no slot is expected in time")
	}
}
