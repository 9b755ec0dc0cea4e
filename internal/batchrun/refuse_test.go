package batchrun

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/waitorder"
)

// overloadedLeader returns a leader of one full worker of 12 slots, each held for a second, to
// which requests arrive at twice that rate.
func overloadedLeader(t *testing.T) (*Leader, time.Time, reservation.Report) {
	t.Helper()
	l := testLeader(t, 0, 1)
	now := time.Now()
	line := &l.service.slots.queue("lm").Controller
	for i := range 240 {
		at := now.Add(time.Duration(i-240) * time.Second / 12)
		line.Observe(at, 12, 12, 1)
		line.RecordArrival(at, waitorder.Rank{})
		line.RecordArrival(at, waitorder.Rank{})
		line.RecordPlacement(at, waitorder.Rank{}, true)
	}
	return l, now, heldReport(1, map[string]int{"w0": 12})
}

func askWithDeadline(begin, last time.Duration) *reservation.Request {
	ask := askFor("w0", time.Second)
	ask.TimeToTarget, ask.TimeToDeadline = begin, last
	return ask
}

// At most two requests can start in time. Those behind them are refused at once, with different
// retry times.
func TestOverloadRefusesRequestsThatCannotBeInTime(t *testing.T) {
	l, now, full := overloadedLeader(t)
	var waiting int
	retryTimes := map[time.Duration]bool{}
	for range 7 {
		waiter, got := l.service.slots.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: askWithDeadline(220*time.Millisecond, 3*time.Second)})
		switch {
		case waiter != nil:
			waiting++
		case got.NoSlotInTime && got.RetryAfter > 0 && got.ExpectedWait > 220*time.Millisecond:
			retryTimes[got.RetryAfter] = true
		default:
			t.Fatalf("%+v", got)
		}
	}
	if waiting < 1 || waiting > 2 || waiting+len(retryTimes) != 7 {
		t.Errorf("%d requests wait, retry times %v", waiting, retryTimes)
	}
}

// A waiting request is refused as soon as it can no longer get a slot in time, for instance
// because its worker was lost.
func TestWaitingRequestIsRefusedOnceItCannotBeInTime(t *testing.T) {
	l, now, full := overloadedLeader(t)
	broker := l.service.slots
	waiter, got := broker.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: askWithDeadline(220*time.Millisecond, 3*time.Second)})
	if waiter == nil {
		t.Fatalf("%+v", got)
	}
	broker.refresh(now.Add(100 * time.Millisecond))
	if len(waiter.Response) != 0 {
		t.Fatalf("%+v while it can still be in time", <-waiter.Response)
	}
	broker.refresh(now.Add(230 * time.Millisecond))
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, reservation.Path, nil)
	if got := broker.await(request, waiter, time.Minute); !got.NoSlotInTime || got.RetryAfter <= 0 || broker.waitingCount("lm") != 0 {
		t.Errorf("%+v, %d requests wait", got, broker.waitingCount("lm"))
	}
}

// A request that does not wait learns the expected wait and is neither counted nor promised a
// slot.
func TestRequestWithoutWaitIsNotRefused(t *testing.T) {
	l, now, full := overloadedLeader(t)
	ask := askWithDeadline(-time.Millisecond, time.Second)
	ask.Wait = 0
	_, got := l.service.slots.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: ask})
	if !got.Full || got.ExpectedWait <= ask.TimeToDeadline || l.service.slots.queue("lm").Controller.Promises() != 0 {
		t.Errorf("%+v, %d promises", got, l.service.slots.queue("lm").Controller.Promises())
	}
}

// A new leader has observed no completion rate and must not refuse requests on it.
func TestNewLeaderRefusesNoRequest(t *testing.T) {
	l := testLeader(t, 0, 1)
	for range 50 {
		waiter, got := l.service.slots.handle(time.Now(), l.service.currentLeaders(), reservation.Message{
			Report: heldReport(1, map[string]int{"w0": 12}), Request: askWithDeadline(200*time.Millisecond, 3*time.Second),
		})
		if waiter == nil {
			t.Fatalf("%+v", got)
		}
	}
}

// A leader promises no slot to a request that will ask another leader.
func TestNoPromiseToRequestThatAsksElsewhere(t *testing.T) {
	l, now, full := overloadedLeader(t)
	ask := askWithDeadline(-time.Millisecond, 3*time.Second)
	ask.HasAlternative = true
	line := &l.service.slots.queue("lm").Controller
	if waiter, got := l.service.slots.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: ask}); waiter != nil || !got.NoSlotInTime || line.Promises() != 0 {
		t.Errorf("%+v, %d promises", got, line.Promises())
	}
	ask.HasAlternative = false
	if waiter, got := l.service.slots.handle(now, l.service.currentLeaders(), reservation.Message{Report: full, Request: ask}); waiter != nil || !got.NoSlotInTime || line.Promises() != 1 {
		t.Errorf("%+v, %d promises", got, line.Promises())
	}
}
