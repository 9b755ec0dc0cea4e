package batchrun

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/fill"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/waitorder"
)

// askFor returns a request for a slot of the test service that prefers a worker.
func askFor(worker string, wait time.Duration) *reservation.Request {
	return &reservation.Request{Service: "lm", Worker: worker, TimeToTarget: time.Second, TimeToDeadline: time.Minute, Wait: wait}
}

// askForVersion is askFor with a software version.
func askForVersion(worker, version string, wait time.Duration) *reservation.Request {
	ask := askFor(worker, wait)
	ask.Version, ask.HasVersion = version, true
	return ask
}

// heldReport returns a frontend's report of held slots.
func heldReport(sequence uint64, held map[string]int) reservation.Report {
	return reservation.Report{Node: "front", Sequence: sequence, InFlight: held}
}

// Workers have 12 slots each.
func TestGrantUsesFreeSlot(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		held    map[string]int
		ask     *reservation.Request
		want    string
		full    bool
	}{
		{"preferred worker", 3, nil, askFor("w1", 0), "w1", false},
		{"preferred worker is full", 2, map[string]int{"w1": 12}, askFor("w1", 0), "w0", false},
		{"one free slot", 1, map[string]int{"w0": 11}, askFor("w0", 0), "w0", false},
		{"no free slot", 2, map[string]int{"w0": 12, "w1": 13}, askFor("w1", 0), "", true},
		{"other worker is excluded", 2, map[string]int{"w1": 12}, &reservation.Request{Service: "lm", Worker: "w1", Excluded: []string{"w0"}, TimeToTarget: time.Second, TimeToDeadline: time.Minute}, "", true},
		{"no worker of the version", 2, nil, askForVersion("w1", "v9", 0), "", true},
		{"version of the workers", 2, nil, askForVersion("w1", "", 0), "w1", false},
		{"unknown service", 2, nil, &reservation.Request{Service: "other", Worker: "w0", TimeToDeadline: time.Minute}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := testLeader(t, 0, test.workers)
			_, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, test.held), Request: test.ask})
			if got.Worker != test.want || got.Full != test.full {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestGrantsAreLimitedBySlots(t *testing.T) {
	l := testLeader(t, 0, 2)
	granted := 0
	for range 30 {
		if _, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, nil), Request: askFor("w0", 0)}); got.Worker != "" {
			granted++
		}
	}
	if granted != 24 {
		t.Errorf("%d grants for 24 slots", granted)
	}
}

func TestNewLeaderGrantsNothingDuringWarmUp(t *testing.T) {
	l := testLeader(t, 0, 2)
	l.startedAt = time.Now()
	if _, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, nil), Request: askFor("w0", 0)}); !got.WarmingUp {
		t.Errorf("%+v", got)
	}
}

// Each request that finds no free slot preempts one item.
func TestRequestPreemptsItem(t *testing.T) {
	l := testLeader(t, 12, 1)
	for _, i := range l.waiting {
		i.worker, i.cancel, i.standing = "w0", func() {}, fill.Normal
		l.running[i] = true
		if _, ok := l.service.pool.Assign(l.queryOnly("w0")); !ok {
			t.Fatal("no worker available")
		}
	}
	for n := 1; n <= 13; n++ {
		_, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, nil), Request: askFor("w0", 0)})
		preempted := preemptedItems(l.service.currentLeaders())["w0"]
		if want := min(n, 12); preempted != want || (got.Worker == "w0") != (n <= 12) {
			t.Errorf("request %d: %+v, %d items preempted", n, got, preempted)
		}
	}
}

// Waiting requests get freed slots in queue order: those that can still be in time first.
func TestWaitingRequestsAreGrantedInQueueOrder(t *testing.T) {
	l := testLeader(t, 0, 1)
	broker, now := l.service.slots, time.Now()
	full := heldReport(1, map[string]int{"w0": 12})
	late, inTime, urgent := askFor("w0", time.Minute), askFor("w0", time.Minute), askFor("w0", time.Minute)
	late.TimeToTarget = -time.Millisecond
	urgent.Rank = waitorder.Rank{Tenant: -1}
	var waiters []*reservation.Waiter
	for _, ask := range []*reservation.Request{late, inTime, urgent} {
		waiter, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: ask})
		if waiter == nil {
			t.Fatalf("%+v", got)
		}
		waiters = append(waiters, waiter)
	}
	if _, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: askFor("w0", 0)}); !got.Full || got.Waiting != 3 {
		t.Errorf("later request: %+v", got)
	}
	for n, want := range []int{2, 1, 0} {
		broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: heldReport(uint64(n+2), map[string]int{"w0": 11 - n})})
		for i, each := range waiters {
			if granted := len(each.Response) == 1; granted != (i == want) {
				t.Errorf("slot %d: request %d granted: %t", n, i, granted)
			}
		}
		<-waiters[want].Response
	}
}

// A waiting stream whose version has no slot must not hold up requests that may run anywhere.
func TestStreamThatWaitsForItsVersionHoldsUpNoOther(t *testing.T) {
	l := testLeader(t, 0, 1)
	broker, now := l.service.slots, time.Now()
	full := heldReport(1, map[string]int{"w0": 12})
	bound, other := askForVersion("w0", "v9", time.Minute), askFor("w0", time.Minute)
	bound.Rank = waitorder.Rank{Tenant: -1}
	var waiters []*reservation.Waiter
	for _, ask := range []*reservation.Request{bound, other} {
		waiter, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: ask})
		if waiter == nil {
			t.Fatalf("%+v", got)
		}
		waiters = append(waiters, waiter)
	}
	broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: heldReport(2, map[string]int{"w0": 11})})
	if len(waiters[0].Response) != 0 || len(waiters[1].Response) != 1 {
		t.Errorf("granted: %d of the version, %d other, want 0 and 1", len(waiters[0].Response), len(waiters[1].Response))
	}
	if _, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: heldReport(3, map[string]int{"w0": 10}), Request: askFor("w0", 0)}); got.Worker != "w0" {
		t.Errorf("a later request got %+v, want the free slot", got)
	}
}

func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	l := testLeader(t, 0, 1)
	ask := askFor("w0", time.Minute)
	ask.TimeToDeadline = 10 * time.Millisecond
	now := time.Now()
	for i := range 20 { // 12 slots are freed per second
		l.service.slots.queue("lm").Controller.Observe(now.Add(time.Duration(i-20)*time.Second/12), 12, 12, 1)
	}
	waiter, got := l.service.slots.handle(now, l.service.currentLeaders(), reservation.Message{Report: heldReport(1, map[string]int{"w0": 12}), Request: ask})
	if waiter != nil || !got.NoSlotInTime || got.RetryAfter <= ask.TimeToDeadline {
		t.Errorf("%+v", got)
	}
}

// A request whose wait has ended leaves the queue.
func TestRequestLeavesQueueAfterWait(t *testing.T) {
	l := testLeader(t, 0, 1)
	broker := l.service.slots
	waiter, got := broker.handle(time.Now(), l.service.currentLeaders(), reservation.Message{Report: heldReport(1, map[string]int{"w0": 12}), Request: askFor("w0", time.Minute)})
	if waiter == nil {
		t.Fatalf("%+v", got)
	}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, reservation.Path, nil)
	if got := broker.await(request, waiter, time.Millisecond); !got.Full || broker.waitingCount("lm") != 0 {
		t.Errorf("%+v, %d requests wait", got, broker.waitingCount("lm"))
	}
}

// The slots of a frontend that stopped reporting are freed.
func TestSlotsOfLostFrontendAreFreed(t *testing.T) {
	l := testLeader(t, 0, 1)
	broker, now := l.service.slots, time.Now()
	broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: heldReport(1, map[string]int{"w0": 12})})
	broker.refresh(now.Add(10 * time.Second))
	if _, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: reservation.Report{Node: "other", Sequence: 1}, Request: askFor("w0", 0)}); got.Worker != "w0" {
		t.Errorf("%+v", got)
	}
}
