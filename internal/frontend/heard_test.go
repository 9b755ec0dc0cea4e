package frontend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

func incarnation(id string) worker.Incarnation { return worker.Incarnation{ID: id} }

func loadWithPace(pace float64) worker.Load { return worker.Load{Slots: 4, Pace: pace} }

func TestPacesAreReportedToTheLeaderOnce(t *testing.T) {
	a, b := &fakeLeader{rule: grants("wa")}, &fakeLeader{rule: grants("wb")}
	r := newTestReservations(t, a, b)
	now := time.Now()
	r.observations.recordLoad(now, incarnation("wa"), loadWithPace(0.7))
	r.observations.recordLoad(now, incarnation("wa"), loadWithPace(1.75))
	r.observations.recordLoad(now, incarnation("wb"), loadWithPace(1.7))
	r.observations.recordLoad(now, incarnation("unknown"), loadWithPace(1.7))
	r.observations.recordLoad(now, incarnation("wa-silent"), worker.Load{Slots: 4})
	for _, want := range []int{1, 0} {
		if _, refusal := r.reserve(context.Background(), worker.Query{Service: "s", Excluded: []string{"wb"}}, startWithin(time.Second), attemptInfo{}, nil); refusal != nil {
			t.Fatal(refusal)
		}
		observed := a.lastMessage().Report.Observations
		if len(observed) != want {
			t.Fatalf("reported %v", observed)
		}
		if want == 1 && (observed[0].Worker != "wa" || observed[0].Pace != 1.75 || observed[0].PaceAge < 0) {
			t.Errorf("reported %+v", observed[0])
		}
	}
}

func TestWorkerOutcomeOfAttempt(t *testing.T) {
	response := func(status int) *backend.WorkerResponse {
		return &backend.WorkerResponse{Response: &http.Response{StatusCode: status}}
	}
	failure := func(code api.ErrorCode) *api.Error {
		return api.NewError("send to worker", "w", code, api.OutcomeUnknown, "broken")
	}
	tests := []struct {
		name       string
		result     attemptResult
		failed, ok bool
	}{
		{"served", attemptResult{status: attemptServed}, false, true},
		{"worker error", attemptResult{status: attemptWorkerError, incoming: response(500)}, true, true},
		{"response without the worker's signature", attemptResult{status: attemptWorkerError, incoming: response(200)}, true, true},
		{"error caused by the request", attemptResult{status: attemptWorkerError, incoming: response(422)}, false, true},
		{"response broke off", attemptResult{status: attemptMaybeRun, failure: failure(api.CodeUpstream)}, true, true},
		{"timeout", attemptResult{status: attemptMaybeRun, failure: failure(api.CodeDeadline)}, true, true},
		{"connection refused", attemptResult{status: attemptNotRun, failure: failure(api.CodeUpstream)}, true, true},
		{"worker full", attemptResult{status: attemptNotRun, failure: failure(api.CodeNoCapacity)}, true, false},
		{"no memory in the frontend", attemptResult{status: attemptMaybeRun, failure: api.NewError("read answer", "w", api.CodeUpstream, api.OutcomeUnknown, "%w", errMemoryBudget)}, false, false},
		{"caller left", attemptResult{status: attemptMaybeRun, failure: failure(api.CodeClientCancelled)}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			failed, ok := test.result.workerOutcome()
			if ok != test.ok || ok && failed != test.failed {
				t.Errorf("failed %t, counts %t", failed, ok)
			}
		})
	}
}

func TestOutcomesAreReportedToTheLeaderOnce(t *testing.T) {
	a, b := &fakeLeader{rule: grants("wa")}, &fakeLeader{rule: grants("wb")}
	r := newTestReservations(t, a, b)
	now := time.Now()
	for _, failed := range []bool{true, false, true} {
		r.observations.recordOutcome(now, incarnation("wa"), failed)
	}
	r.observations.recordOutcome(now, incarnation("wb"), true)
	r.observations.recordOutcome(now.Add(-time.Minute), incarnation("old"), true)
	for _, want := range []worker.Outcomes{{Succeeded: 1, Failed: 2}, {}} {
		if _, refusal := r.reserve(context.Background(), worker.Query{Service: "s", Excluded: []string{"wb"}}, startWithin(time.Second), attemptInfo{}, nil); refusal != nil {
			t.Fatal(refusal)
		}
		var got worker.Outcomes
		for _, observation := range a.lastMessage().Report.Observations {
			if observation.Worker != "wa" {
				t.Errorf("report includes worker %s", observation.Worker)
			}
			got = observation.Outcomes
		}
		if got != want {
			t.Errorf("reported %v", got)
		}
	}
	if len(r.observations.pending) != 1 {
		t.Errorf("pending: %v", r.observations.pending)
	}
}

func TestStreamStepExcludesCallerWriteTime(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		events   int
		interval time.Duration // between two events
		write    time.Duration // time to write an event to the caller
		want     time.Duration // 0: no observation
	}{
		{"complete stream", 19, 35 * ms, 0, 35 * ms},
		{"slow caller", 19, 35 * ms, time.Second, 35 * ms},
		{"too few events", minStreamEvents - 1, 35 * ms, 0, 0},
		{"no events", 0, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			var pace streamPace
			for range test.events {
				now = now.Add(test.interval)
				pace.received(now)
				now = now.Add(test.write)
				pace.forwarded(now)
			}
			var o observations
			o.recordStream(now, incarnation("w"), pace)
			o.recordStream(now, incarnation("other"), streamPace{events: 20, workerTime: time.Second})
			observed := o.drain(now, func(id string) bool { return id == "w" })
			if len(observed) > 1 || len(observed) == 1 != (test.want > 0) || test.want > 0 && (observed[0].EventInterval != test.want || observed[0].Streams != 1) {
				t.Errorf("reported %v", observed)
			}
			if again := o.drain(now.Add(2*observationTTL), func(string) bool { return true }); len(again) != 0 || len(o.pending) != 0 {
				t.Errorf("reported again %v, pending %v", again, o.pending)
			}
		})
	}
}

// Leaders that run an older version send no paces.
func TestPacesFromTheLeaderAreUsed(t *testing.T) {
	tests := []struct {
		name  string
		paces map[string]float64
		known bool
	}{
		{"paces", map[string]float64{"wa": 1.7, "wb": 0.7, "gone": 1}, true},
		{"older leader", nil, false},
		{"invalid paces", map[string]float64{"wa": 0, "wb": -1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rule := answersWith(reservation.Response{Worker: "wa", Grant: 1, Paces: test.paces})
			r := newTestReservations(t, &fakeLeader{rule: rule}, &fakeLeader{rule: rule})
			r.reserve(context.Background(), worker.Query{Service: "s"}, startWithin(time.Second), attemptInfo{}, nil)
			if got := r.pool.PaceKnown("s"); got != test.known {
				t.Fatalf("pace known: %t", got)
			}
			if !test.known {
				return
			}
			ticket, _ := r.pool.Assign(worker.Query{Service: "s"})
			if ticket.Worker.ID != "wb" || ticket.Pace.Source != worker.PaceFromLeader {
				t.Errorf("%+v", ticket.Choice)
			}
		})
	}
}

func TestPendingObservationsAreBoundedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o observations
		all := func(string) bool { return true }
		for i := range 3 * maxPendingObservations {
			o.recordLoad(time.Now(), incarnation(fmt.Sprint(i)), loadWithPace(1))
		}
		if len(o.pending) != maxPendingObservations {
			t.Errorf("%d pending observations", len(o.pending))
		}
		if n := len(o.drain(time.Now(), all)); n != reservation.MaxObservations {
			t.Errorf("%d observations in one report", n)
		}
		time.Sleep(observationTTL + time.Millisecond)
		o.recordLoad(time.Now(), incarnation("late"), loadWithPace(1))
		if observed := o.drain(time.Now(), all); len(observed) != 1 || len(o.pending) != 0 {
			t.Errorf("reported %v, pending %d", observed, len(o.pending))
		}
	})
}

// The report and its observations are lost; the frontend falls back to its own choice
// of worker.
func TestLostReportDoesNotFailTheRequest(t *testing.T) {
	r := newTestReservations(t, &fakeLeader{rule: dropsConnection}, &fakeLeader{rule: dropsConnection})
	r.observations.recordLoad(time.Now(), incarnation("wa"), loadWithPace(0.7))
	ticket, refusal := r.reserve(context.Background(), worker.Query{Service: "s"}, startWithin(time.Second), attemptInfo{}, nil)
	if ticket == nil || refusal != nil {
		t.Fatalf("%v %v", ticket, refusal)
	}
	if fields := paceFields(ticket); fields != nil {
		t.Errorf("fields %v for a service without known paces", fields)
	}
}
