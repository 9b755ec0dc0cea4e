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

func of(id string) worker.Incarnation { return worker.Incarnation{ID: id} }

func paceOf(pace float64) worker.Load { return worker.Load{Slots: 4, Pace: pace} }

func TestALeaderIsToldItsWorkersPacesOnce(t *testing.T) {
	a, b := &answers{rule: gives("wa")}, &answers{rule: gives("wb")}
	p := leadersOf(t, a, b)
	now := time.Now()
	p.heard.load(now, of("wa"), paceOf(0.7))
	p.heard.load(now, of("wa"), paceOf(1.75))
	p.heard.load(now, of("wb"), paceOf(1.7))
	p.heard.load(now, of("unknown"), paceOf(1.7))
	p.heard.load(now, of("wa-silent"), worker.Load{Slots: 4})
	for _, want := range []int{1, 0} {
		if _, refusal := p.take(context.Background(), worker.Query{Service: "s", Excluded: []string{"wb"}}, toBegin(time.Second), asking{}, nil); refusal != nil {
			t.Fatal(refusal)
		}
		words := a.last().Report.Heard
		if len(words) != want {
			t.Fatalf("told %v", words)
		}
		if want == 1 && (words[0].Worker != "wa" || words[0].Pace != 1.75 || words[0].PaceAge < 0) {
			t.Errorf("told %+v", words[0])
		}
	}
}

func TestWhatAnEndTellsOfAWorker(t *testing.T) {
	answer := func(status int) *backend.Incoming {
		return &backend.Incoming{Response: &http.Response{StatusCode: status}}
	}
	failure := func(code api.ErrorCode) *api.Error {
		return api.NewError("send to worker", "w", code, api.OutcomeUnknown, "broken")
	}
	tests := []struct {
		name       string
		end        attemptResult
		broken, ok bool
	}{
		{"answered", attemptResult{verdict: done}, false, true},
		{"its own failure", attemptResult{verdict: refused, failed: answer(500)}, true, true},
		{"bytes that nobody signed", attemptResult{verdict: refused, failed: answer(200)}, true, true},
		{"the request's own failure", attemptResult{verdict: refused, failed: answer(422)}, false, true},
		{"it broke off", attemptResult{verdict: mayRun, failure: failure(api.CodeUpstream)}, true, true},
		{"no answer in its time", attemptResult{verdict: mayRun, failure: failure(api.CodeDeadline)}, true, true},
		{"no connection", attemptResult{verdict: notRun, failure: failure(api.CodeUpstream)}, true, true},
		{"full", attemptResult{verdict: notRun, failure: failure(api.CodeNoCapacity)}, true, false},
		{"no memory here", attemptResult{verdict: mayRun, failure: api.NewError("read answer", "w", api.CodeUpstream, api.OutcomeUnknown, "%w", errMemory)}, false, false},
		{"the caller left", attemptResult{verdict: mayRun, failure: failure(api.CodeClientCancelled)}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			broken, ok := test.end.tells()
			if ok != test.ok || ok && broken != test.broken {
				t.Errorf("broken %t, tells %t", broken, ok)
			}
		})
	}
}

func TestALeaderIsToldOutcomesOnce(t *testing.T) {
	a, b := &answers{rule: gives("wa")}, &answers{rule: gives("wb")}
	p := leadersOf(t, a, b)
	now := time.Now()
	for _, broken := range []bool{true, false, true} {
		p.heard.ended(now, of("wa"), broken)
	}
	p.heard.ended(now, of("wb"), true)
	p.heard.ended(now.Add(-time.Minute), of("old"), true)
	for _, want := range []worker.Outcomes{{Whole: 1, Broken: 2}, {}} {
		if _, refusal := p.take(context.Background(), worker.Query{Service: "s", Excluded: []string{"wb"}}, toBegin(time.Second), asking{}, nil); refusal != nil {
			t.Fatal(refusal)
		}
		var got worker.Outcomes
		for _, word := range a.last().Report.Heard {
			if word.Worker != "wa" {
				t.Errorf("told of %s", word.Worker)
			}
			got = word.Outcomes
		}
		if got != want {
			t.Errorf("told %v", got)
		}
	}
	if len(p.heard.words) != 1 {
		t.Errorf("kept %v", p.heard.words)
	}
}

func TestAStreamTellsItsWorkersStep(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		events int
		each   time.Duration // between two events
		write  time.Duration // until one was passed on
		want   time.Duration // 0: nothing
	}{
		{"a whole stream", 19, 35 * ms, 0, 35 * ms},
		{"its caller reads slowly", 19, 35 * ms, time.Second, 35 * ms},
		{"too short", leastEvents - 1, 35 * ms, 0, 0},
		{"none", 0, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			var pace streamPace
			for range test.events {
				now = now.Add(test.each)
				pace.came(now)
				now = now.Add(test.write)
				pace.passedOn(now)
			}
			var h heard
			h.stream(now, of("w"), pace)
			h.stream(now, of("other"), streamPace{events: 20, took: time.Second})
			words := h.take(now, func(id string) bool { return id == "w" })
			if len(words) > 1 || len(words) == 1 != (test.want > 0) || test.want > 0 && (words[0].Step != test.want || words[0].Streams != 1) {
				t.Errorf("told %v", words)
			}
			if again := h.take(now.Add(2*wordLife), func(string) bool { return true }); len(again) != 0 || len(h.words) != 0 {
				t.Errorf("told again %v, kept %v", again, h.words)
			}
		})
	}
}

// What a leader gathered decides where this frontend looks next; a leader of an older
// program tells nothing.
func TestALeadersPacesAreLearned(t *testing.T) {
	tests := []struct {
		name  string
		paces map[string]float64
		known bool
	}{
		{"told", map[string]float64{"wa": 1.7, "wb": 0.7, "gone": 1}, true},
		{"an older leader", nil, false},
		{"no paces", map[string]float64{"wa": 0, "wb": -1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rule := always(reservation.Answer{Worker: "wa", Grant: 1, Paces: test.paces})
			p := leadersOf(t, &answers{rule: rule}, &answers{rule: rule})
			p.take(context.Background(), worker.Query{Service: "s"}, toBegin(time.Second), asking{}, nil)
			if got := p.pool.Paced("s"); got != test.known {
				t.Fatalf("paced %t", got)
			}
			if !test.known {
				return
			}
			ticket, _ := p.pool.Take(worker.Query{Service: "s"})
			if ticket.Worker.ID != "wb" || ticket.Pace.Source != worker.PaceGathered {
				t.Errorf("%+v", ticket.Choice)
			}
		})
	}
}

func TestWordsOfPacesAreBoundedAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heard
		all := func(string) bool { return true }
		for i := range 3 * mostWords {
			h.load(time.Now(), of(fmt.Sprint(i)), paceOf(1))
		}
		if len(h.words) != mostWords {
			t.Errorf("%d kept", len(h.words))
		}
		if n := len(h.take(time.Now(), all)); n != reservation.MaximumWords {
			t.Errorf("%d in one report", n)
		}
		time.Sleep(wordLife + time.Millisecond)
		h.load(time.Now(), of("late"), paceOf(1))
		if words := h.take(time.Now(), all); len(words) != 1 || len(h.words) != 0 {
			t.Errorf("told %v, kept %d", words, len(h.words))
		}
	})
}

// A report is lost with its words; the request is served by the frontend's own choice.
func TestALostReportOfPacesCostsNoRequest(t *testing.T) {
	p := leadersOf(t, &answers{rule: breaks}, &answers{rule: breaks})
	p.heard.load(time.Now(), of("wa"), paceOf(0.7))
	ticket, refusal := p.take(context.Background(), worker.Query{Service: "s"}, toBegin(time.Second), asking{}, nil)
	if ticket == nil || refusal != nil {
		t.Fatalf("%v %v", ticket, refusal)
	}
	if fields := paceFields(ticket); fields != nil {
		t.Errorf("fields %v of a service without paces", fields)
	}
}
