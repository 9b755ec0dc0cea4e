package frontend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/waitorder"
	"github.com/dykewing/dykewing/worker"
)

// fakeLeader answers reservation requests by a rule and records all messages.
type fakeLeader struct {
	mutex    sync.Mutex // guards messages
	messages []reservation.Message
	rule     func(ask reservation.Request) (reservation.Response, bool) // false: drop the connection
}

func (l *fakeLeader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message reservation.Message
	_ = json.NewDecoder(r.Body).Decode(&message)
	l.mutex.Lock()
	l.messages = append(l.messages, message)
	l.mutex.Unlock()
	answer := reservation.Response{}
	if message.Request != nil {
		given, ok := l.rule(*message.Request)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		answer = given
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (l *fakeLeader) requestCount() (n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, message := range l.messages {
		if message.Request != nil {
			n++
		}
	}
	return n
}

func (l *fakeLeader) lastMessage() reservation.Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.messages[len(l.messages)-1]
}

// newTestReservations returns reservations with two leaders: a for worker wa and b for
// worker wb.
func newTestReservations(t *testing.T, a, b *fakeLeader) *reservations {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pool := backend.NewPool(worker.DefaultSettings("z"), nil)
	leaders := map[string]api.Node{}
	for id, leader := range map[string]*fakeLeader{"wa": a, "wb": b} {
		server := httptest.NewServer(leader)
		t.Cleanup(server.Close)
		leaders[id] = api.Node{ID: api.NodeID("leader-" + id), Address: strings.TrimPrefix(server.URL, "http://")}
		pool.WorkersChanged([]catalog.Change{{ID: id, Worker: worker.Worker{ID: id, Service: "s", Zone: "z", Slots: 4}}})
	}
	names := []string{"wa", "wb"} // by group
	pool.SetGroups(func(id string) int { return slices.Index(names, id) })
	return &reservations{
		groups: func(filter func(api.NodeID) bool, _ bool) []int {
			groups := []int{}
			for group, name := range names {
				if filter(leaders[name].ID) {
					groups = append(groups, group)
				}
			}
			return groups
		},
		self: "front", zone: "z", pool: pool, client: &http.Client{}, log: logrus.NewEntry(logger), metrics: newMetrics(prometheus.NewRegistry()),
		leaderOf: func(id string) (api.Node, bool) { node, ok := leaders[id]; return node, ok },
		sequence: 1, leaders: map[api.NodeID]*leaderState{}, inFlight: map[worker.Incarnation]int{},
	}
}

func grants(id string) func(reservation.Request) (reservation.Response, bool) {
	return func(reservation.Request) (reservation.Response, bool) {
		return reservation.Response{Worker: id, Grant: 7}, true
	}
}

func answersWith(answer reservation.Response) func(reservation.Request) (reservation.Response, bool) {
	return func(reservation.Request) (reservation.Response, bool) { return answer, true }
}

func dropsConnection(reservation.Request) (reservation.Response, bool) {
	return reservation.Response{}, false
}

// startWithin returns a request that may wait that long.
func startWithin(within time.Duration) waitorder.Request {
	now := time.Now()
	return waitorder.Request{Target: now.Add(within), Deadline: now.Add(within)}
}

func TestReserveFollowsLeaderAnswers(t *testing.T) {
	noSlot := answersWith(reservation.Response{NoSlotInTime: true, RetryAfter: time.Second, Waiting: 9})
	full := answersWith(reservation.Response{Full: true, Waiting: 1})
	later := func(ask reservation.Request) (reservation.Response, bool) { // requests that wait get a slot
		if ask.Wait > 0 {
			return reservation.Response{Worker: "wb", Grant: 1}, true
		}
		return reservation.Response{Full: true}, true
	}
	tests := []struct {
		name   string
		a, b   func(reservation.Request) (reservation.Response, bool)
		within time.Duration
		want   string // worker; "any": either; empty: refused
	}{
		{"leader grants the preferred worker", grants("wa"), grants("wa"), time.Minute, "wa"},
		{"leader grants another worker", grants("wb"), grants("wb"), time.Minute, "wb"},
		{"one leader full", full, grants("wb"), time.Minute, "wb"},
		{"one leader without a slot in time, the other with a free slot", noSlot, grants("wb"), time.Millisecond, "wb"},
		{"both full, one gets a slot later", full, later, time.Minute, "wb"},
		{"no slot in time at either", noSlot, noSlot, time.Minute, ""},
		{"both full, no time left", full, full, -time.Millisecond, ""},
		{"grant of an unknown worker", grants("wa"), grants("unknown"), time.Minute, "any"},
		{"leaders that have just started", answersWith(reservation.Response{WarmingUp: true}), answersWith(reservation.Response{WarmingUp: true}), time.Minute, "any"},
		{"leaders that don't answer", dropsConnection, dropsConnection, time.Minute, "any"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestReservations(t, &fakeLeader{rule: test.a}, &fakeLeader{rule: test.b})
			ticket, refusal := r.reserve(t.Context(), worker.Query{Service: "s"}, startWithin(test.within), attemptInfo{}, ignoreDropped)
			switch {
			case test.want == "":
				if ticket != nil || refusal == nil || refusal.Outcome != api.OutcomeNotRun {
					t.Errorf("%v, %v", ticket, refusal)
				}
			case ticket == nil || test.want != "any" && ticket.Worker.ID != test.want:
				t.Errorf("%+v, %v, want %s", ticket, refusal, test.want)
			}
			counted := r.pool.InFlight("wa") + r.pool.InFlight("wb")
			if ticket != nil && counted != 1 || ticket == nil && counted != 0 {
				t.Errorf("%d requests counted at workers", counted)
			}
		})
	}
}

func TestUnknownLeaderPeriodIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, hook := test.NewNullLogger()
		r := &reservations{log: logrus.NewEntry(logger), metrics: newMetrics(prometheus.NewRegistry())}
		for _, step := range []struct {
			known bool
			after time.Duration
		}{{false, 0}, {true, 10 * time.Millisecond}, {false, 300 * time.Millisecond}, {true, leaderKnownPeriod / 2}, {true, leaderKnownPeriod}, {true, leaderKnownPeriod}} {
			time.Sleep(step.after)
			r.recordLeaderKnown(step.known)
		}
		var logged []string
		for _, entry := range hook.AllEntries() {
			logged = append(logged, fmt.Sprint(entry.Data["event"], " ", entry.Data["unknown_ms"]))
		}
		if want := "leader_unknown <nil>, leader_known 310"; strings.Join(logged, ", ") != want {
			t.Errorf("logged %q, want %q", logged, want)
		}
	})
}

func ignoreDropped(*backend.Assignment) {}

// Guards against sending a request to a worker that left while the request waited for
// its leader, for up to a second.
func TestWorkerThatLeavesDuringReservationIsNotUsed(t *testing.T) {
	tests := []struct {
		name    string
		answer  reservation.Response
		removed bool // the worker is removed; otherwise it is leaving
	}{
		{"granted, worker removed", reservation.Response{Worker: "wa", Grant: 7}, true},
		{"granted, worker leaving", reservation.Response{Worker: "wa", Grant: 7}, false},
		{"leader has just started, worker removed", reservation.Response{WarmingUp: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeLeader{rule: grants("wb")}
			a := &fakeLeader{}
			r := newTestReservations(t, a, b)
			a.rule = func(reservation.Request) (reservation.Response, bool) {
				r.pool.WorkersChanged([]catalog.Change{{ID: "wa", Removed: test.removed, Worker: worker.Worker{ID: "wa", Service: "s", Zone: "z", Slots: 4, Draining: true}}})
				return test.answer, true
			}
			r.pool.WorkersChanged([]catalog.Change{{ID: "wb", Removed: true}}) // added again when wa is dropped
			var dropped []string
			ticket, refusal := r.reserve(t.Context(), worker.Query{Service: "s"}, startWithin(time.Minute), attemptInfo{}, func(ticket *backend.Assignment) {
				dropped = append(dropped, ticket.Worker.ID)
				r.pool.WorkersChanged([]catalog.Change{{ID: "wb", Worker: worker.Worker{ID: "wb", Service: "s", Zone: "z", Slots: 4}}})
			})
			if ticket == nil || ticket.Worker.ID != "wb" || refusal != nil || len(dropped) != 1 || dropped[0] != "wa" {
				t.Errorf("%+v, %v; dropped %v", ticket, refusal, dropped)
			}
			r.mutex.Lock()
			defer r.mutex.Unlock()
			if r.inFlight[worker.Incarnation{ID: "wa"}] != 0 || r.inFlight[worker.Incarnation{ID: "wb"}] != 1 {
				t.Errorf("in flight: %v", r.inFlight)
			}
		})
	}
}

func TestReserveWithoutWorkers(t *testing.T) {
	r := newTestReservations(t, &fakeLeader{rule: grants("wa")}, &fakeLeader{rule: grants("wb")})
	if ticket, refusal := r.reserve(t.Context(), worker.Query{Service: "unknown"}, startWithin(time.Minute), attemptInfo{}, ignoreDropped); ticket != nil || refusal != nil {
		t.Errorf("%v, %v", ticket, refusal)
	}
}

// A report that includes a grant also counts its request.
func TestReportsIncludeGrantedReservations(t *testing.T) {
	a, b := &fakeLeader{rule: grants("wa")}, &fakeLeader{rule: grants("wa")}
	r := newTestReservations(t, a, b)
	ticket, _ := r.reserve(t.Context(), worker.Query{Service: "s", Excluded: []string{"wb"}}, startWithin(time.Minute), attemptInfo{}, ignoreDropped)
	peer, _ := r.leaderOf("wa")
	report := r.buildReport(peer)
	if report.LastGrant != 7 || report.InFlight["wa"] != 1 || report.InFlight["wb"] != 0 {
		t.Errorf("%+v", report)
	}
	ticket.End()
	for deadline := time.Now().Add(time.Minute); a.lastMessage().Request != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no report of the ended request")
		}
	}
	if last := a.lastMessage().Report; len(last.InFlight) != 0 || last.Sequence <= report.Sequence {
		t.Errorf("%+v after %+v", last, report)
	}
}

func TestUnresponsiveLeaderIsSkippedDuringBackoff(t *testing.T) {
	a, b := &fakeLeader{rule: dropsConnection}, &fakeLeader{rule: dropsConnection}
	r := newTestReservations(t, a, b)
	query := worker.Query{Service: "s", Excluded: []string{"wb"}}
	r.reserve(t.Context(), query, startWithin(time.Minute), attemptInfo{}, ignoreDropped)
	peer, _ := r.leaderOf("wa")
	state := r.leader(peer.ID)
	if state.backoff != minLeaderBackoff || state.backoffUntil.IsZero() {
		t.Fatalf("after a failure: %+v", state)
	}
	state.backoffUntil = time.Now().Add(time.Hour) // independent of the test's timing
	for range 10 {
		if ticket, refusal := r.reserve(t.Context(), query, startWithin(time.Minute), attemptInfo{}, ignoreDropped); ticket == nil {
			t.Fatalf("no worker: %v", refusal)
		}
	}
	if n := a.requestCount(); n != 1 {
		t.Errorf("an unresponsive leader was asked %d times", n)
	}
	state.backoffUntil = time.Time{}
	r.reserve(t.Context(), query, startWithin(time.Minute), attemptInfo{}, ignoreDropped)
	if state.backoff != 2*minLeaderBackoff {
		t.Errorf("backoff %v after the second failure", state.backoff)
	}
}

func TestCancelledRequestReservesNothing(t *testing.T) {
	r := newTestReservations(t, &fakeLeader{rule: grants("wa")}, &fakeLeader{rule: grants("wb")})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if ticket, refusal := r.reserve(ctx, worker.Query{Service: "s"}, startWithin(time.Minute), attemptInfo{}, ignoreDropped); ticket != nil || refusal != nil {
		t.Errorf("%v, %v", ticket, refusal)
	}
	if counted := r.pool.InFlight("wa") + r.pool.InFlight("wb"); counted != 0 {
		t.Errorf("%d requests counted at workers", counted)
	}
}

// A leader that has lost its workers has an empty queue but refuses all requests.
func TestRequestQueuesAtLeaderWithShortestWait(t *testing.T) {
	full := func(waiting int, until time.Duration) func(reservation.Request) (reservation.Response, bool) {
		return func(ask reservation.Request) (reservation.Response, bool) {
			if ask.Wait > 0 {
				return reservation.Response{Worker: ask.Worker, Grant: 1}, true
			}
			return reservation.Response{Full: true, Waiting: waiting, ExpectedWait: until}, true
		}
	}
	tests := []struct {
		name string
		a, b func(reservation.Request) (reservation.Response, bool)
		want string
	}{
		{"empty queue, long wait", full(0, 3*time.Second), full(40, 100*time.Millisecond), "wb"},
		{"unknown wait: shorter queue", full(5, 0), full(2, 0), "wb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestReservations(t, &fakeLeader{rule: test.a}, &fakeLeader{rule: test.b})
			ticket, refusal := r.reserve(t.Context(), worker.Query{Service: "s"}, startWithin(time.Minute), attemptInfo{}, ignoreDropped)
			if ticket == nil || ticket.Worker.ID != test.want {
				t.Errorf("%+v, %v", ticket, refusal)
			}
		})
	}
}

func TestRepeatedReservationRequestKeepsItsPromise(t *testing.T) {
	due := 300 * time.Millisecond
	var asks []reservation.Request
	a := &fakeLeader{rule: func(ask reservation.Request) (reservation.Response, bool) {
		if ask.Wait > 0 {
			asks = append(asks, ask)
		}
		if len(asks) < 2 {
			return reservation.Response{Full: true, Promise: &due}, true
		}
		return reservation.Response{Worker: "wa", Grant: 1}, true
	}}
	r := newTestReservations(t, a, &fakeLeader{rule: grants("wb")})
	r.reserve(t.Context(), worker.Query{Service: "s", Excluded: []string{"wb"}}, startWithin(time.Minute), attemptInfo{callerRetry: true}, ignoreDropped)
	if len(asks) != 2 {
		t.Fatalf("%d reservation requests", len(asks))
	}
	if first := asks[0]; !first.Returning || first.Requeued || first.Promise != nil {
		t.Errorf("first: %+v", first)
	}
	if second := asks[1]; !second.Requeued || second.Promise == nil || *second.Promise > due {
		t.Errorf("second: %+v", second)
	}
}

// If the first leader has no slot in time, one other leader is asked, and its
// RetryAfter is returned.
func TestSecondLeaderIsAskedBeforeRefusal(t *testing.T) {
	var asks []reservation.Request
	rule := func(waits reservation.Response) func(reservation.Request) (reservation.Response, bool) {
		return func(ask reservation.Request) (reservation.Response, bool) {
			if ask.Wait <= 0 {
				return reservation.Response{Full: true, ExpectedWait: time.Second}, true
			}
			asks = append(asks, ask)
			return waits, true
		}
	}
	noSlot := reservation.Response{NoSlotInTime: true, RetryAfter: 300 * time.Millisecond}
	tests := []struct {
		name string
		b    reservation.Response
		want string
	}{
		{"the other has a slot", reservation.Response{Worker: "wb", Grant: 1}, "wb"},
		{"neither has", noSlot, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asks = nil
			r := newTestReservations(t, &fakeLeader{rule: rule(reservation.Response{NoSlotInTime: true})}, &fakeLeader{rule: rule(test.b)})
			ticket, refusal := r.reserve(t.Context(), worker.Query{Service: "s"}, startWithin(time.Minute), attemptInfo{}, ignoreDropped)
			if (ticket != nil) != (test.want != "") || (refusal != nil) != (test.want == "") {
				t.Fatalf("%+v, %v", ticket, refusal)
			}
			if refusal != nil && refusal.RetryAfter != noSlot.RetryAfter {
				t.Errorf("RetryAfter %v", refusal.RetryAfter)
			}
			if len(asks) != 2 || !asks[0].HasAlternative || asks[1].HasAlternative {
				t.Errorf("%+v", asks)
			}
		})
	}
}
