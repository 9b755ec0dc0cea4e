package frontend

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dykewing/dykewing/reservation"
	"github.com/dykewing/dykewing/worker"
)

func paceOf(pace float64) worker.Load { return worker.Load{Slots: 4, Pace: pace} }

func TestALeaderIsToldItsWorkersPacesOnce(t *testing.T) {
	a, b := &answers{rule: gives("wa")}, &answers{rule: gives("wb")}
	p := leadersOf(t, a, b)
	now := time.Now()
	p.paces.note(now, "wa", paceOf(0.7))
	p.paces.note(now, "wa", paceOf(1.75))
	p.paces.note(now, "wb", paceOf(1.7))
	p.paces.note(now, "unknown", paceOf(1.7))
	p.paces.note(now, "wa-silent", worker.Load{Slots: 4})
	for _, want := range []int{1, 0} {
		if _, refusal := p.take(context.Background(), worker.Query{Service: "s", Excluded: []string{"wb"}}, toBegin(time.Second), nil); refusal != nil {
			t.Fatal(refusal)
		}
		words := a.last().Report.Paces
		if len(words) != want {
			t.Fatalf("told %v", words)
		}
		if want == 1 && (words[0].Worker != "wa" || words[0].Pace != 1.75 || words[0].Age < 0) {
			t.Errorf("told %+v", words[0])
		}
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
			p.take(context.Background(), worker.Query{Service: "s"}, toBegin(time.Second), nil)
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
		var p paces
		all := func(string) bool { return true }
		for i := range 3 * mostPaceWords {
			p.note(time.Now(), fmt.Sprint(i), paceOf(1))
		}
		if len(p.words) != mostPaceWords {
			t.Errorf("%d kept", len(p.words))
		}
		if n := len(p.take(time.Now(), all)); n != reservation.MaximumPaceWords {
			t.Errorf("%d in one report", n)
		}
		time.Sleep(paceWordLife + time.Millisecond)
		p.note(time.Now(), "late", paceOf(1))
		if words := p.take(time.Now(), all); len(words) != 1 || len(p.words) != 0 {
			t.Errorf("told %v, kept %d", words, len(p.words))
		}
	})
}

// A report is lost with its words; the request is served by the frontend's own choice.
func TestALostReportOfPacesCostsNoRequest(t *testing.T) {
	p := leadersOf(t, &answers{rule: breaks}, &answers{rule: breaks})
	p.paces.note(time.Now(), "wa", paceOf(0.7))
	ticket, refusal := p.take(context.Background(), worker.Query{Service: "s"}, toBegin(time.Second), nil)
	if ticket == nil || refusal != nil {
		t.Fatalf("%v %v", ticket, refusal)
	}
	if fields := paceFields(ticket); fields != nil {
		t.Errorf("fields %v of a service without paces", fields)
	}
}
