package worker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outcomeReport is a report of outcomes of one worker.
type outcomeReport struct {
	at            time.Duration
	id            string
	whole, broken int
}

func TestOutlierEjection(t *testing.T) {
	const s = time.Second
	peers := func(whole, broken int) (list []outcomeReport) {
		for i := 1; i < 8; i++ {
			list = append(list, outcomeReport{0, fmt.Sprint("w", i), whole, broken})
		}
		return list
	}
	tests := []struct {
		name    string
		reports []outcomeReport
		at      time.Duration
		ejected bool
	}{
		{"no outcomes", nil, 0, false},
		{"all requests fail", append(peers(5, 0), outcomeReport{0, "w0", 0, 3}), 0, true},
		{"failure rate above the threshold", append(peers(5, 0), outcomeReport{0, "w0", 4, 3}), 0, true},
		{"failure rate below the threshold", append(peers(5, 0), outcomeReport{0, "w0", 20, 3}), 0, false},
		{"single failure", append(peers(5, 0), outcomeReport{0, "w0", 0, 1}), 0, false},
		{"peers fail as often", append(peers(3, 3), outcomeReport{0, "w0", 3, 4}), 0, false},
		{"expired failures", append(peers(5, 0), outcomeReport{0, "w0", 0, 2}, outcomeReport{9 * s, "w0", 0, 1}), 9 * s, false},
		{"negative count", append(peers(5, 0), outcomeReport{0, "w0", -9, 4}), 0, false},
		{"ejection expired", append(peers(5, 0), outcomeReport{0, "w0", 0, 3}), minEjectionTime, false},
		{"probe failed", append(peers(5, 0), outcomeReport{0, "w0", 0, 3}, outcomeReport{minEjectionTime, "w0", 0, 1}), 2 * minEjectionTime, true},
		{"probe succeeded", append(peers(5, 0), outcomeReport{0, "w0", 0, 3}, outcomeReport{minEjectionTime, "w0", 1, 0}), minEjectionTime, false},
		{"success of a request sent before the ejection", append(peers(5, 0), outcomeReport{0, "w0", 0, 3}, outcomeReport{minEjectionTime / 2, "w0", 1, 0}), minEjectionTime - 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(8)
			for _, report := range test.reports {
				p.RecordOutcomes(testStart.Add(report.at), report.id, Outcomes{Succeeded: report.whole, Failed: report.broken})
			}
			now := testStart.Add(test.at)
			if got := p.Occupancies(now, "s")[0].Usable; got == test.ejected {
				t.Errorf("usable %t", got)
			}
			chosen := false
			for range 50 {
				choice, _ := p.Choose(now, Query{Service: "s"}, newRand())
				p.Begin(choice.Worker.ID, 0)
				chosen = chosen || choice.Worker.ID == "w0"
			}
			if chosen == test.ejected {
				t.Errorf("chosen %t", chosen)
			}
		})
	}
}

// The limit on ejections counts only workers with outcomes, not the whole fleet.
func TestEjectionLimitCountsKnownWorkers(t *testing.T) {
	p := testPool(40)
	for i := range 8 {
		p.RecordOutcomes(testStart, fmt.Sprint("w", i), Outcomes{Succeeded: 30})
	}
	for n := range 6 {
		p.RecordOutcomes(testStart, fmt.Sprint("w", n), Outcomes{Failed: 90})
	}
	out := 0
	for _, each := range p.Occupancies(testStart, "s") {
		if !each.Usable {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 8 workers ejected", out)
	}
}

func TestNoEjectionIfAllFail(t *testing.T) {
	p := testPool(8)
	for n := range 20 {
		for i := range 8 {
			p.RecordOutcomes(testStart.Add(time.Duration(n)*100*time.Millisecond), fmt.Sprint("w", i), Outcomes{Succeeded: 1, Failed: 2})
		}
	}
	for _, each := range p.Occupancies(testStart.Add(2*time.Second), "s") {
		if !each.Usable {
			t.Errorf("%s ejected", each.ID)
		}
	}
}

func TestProbingWorkerGetsOneRequest(t *testing.T) {
	p := testPool(4)
	p.RecordOutcomes(testStart, "w1", Outcomes{Succeeded: 5})
	p.RecordOutcomes(testStart, "w2", Outcomes{Succeeded: 5})
	p.RecordOutcomes(testStart, "w0", Outcomes{Failed: 3})
	now := testStart.Add(minEjectionTime)
	n := 0
	for range 40 {
		choice, _ := p.Choose(now, Query{Service: "s"}, newRand())
		p.Begin(choice.Worker.ID, 0)
		if choice.Worker.ID == "w0" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests sent to a probing worker", n)
	}
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 1 {
		t.Errorf("%d slots offered while probing", slots)
	}
	p.Begin("w0", 0)
	p.Begin("w0", 0)
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 3 {
		t.Errorf("%d slots offered while probing with 3 requests in flight", slots)
	}
	if judgement, changed := p.RecordOutcomes(now, "w0", Outcomes{Succeeded: 1}); !changed || judgement.Ejected {
		t.Errorf("%+v, changed %t after a successful probe", judgement, changed)
	}
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 10 {
		t.Errorf("%d slots after reinstatement", slots)
	}
}

func TestEjectedWorkerIsChosenAsLastResort(t *testing.T) {
	p := testPool(4)
	p.RecordOutcomes(testStart, "w1", Outcomes{Succeeded: 5})
	p.RecordOutcomes(testStart, "w2", Outcomes{Succeeded: 5})
	p.RecordOutcomes(testStart, "w0", Outcomes{Failed: 3})
	if got := choose(t, p, testStart, Query{Excluded: []string{"w1", "w2", "w3"}}); got != "w0" {
		t.Errorf("chose %q", got)
	}
}

// The number of ejected workers is bounded for any sequence of outcomes.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "workers")
		p := testPool(n)
		now := testStart
		for range rapid.IntRange(1, 100).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "later")) * time.Millisecond)
			p.RecordOutcomes(now, fmt.Sprint("w", rapid.IntRange(0, n).Draw(t, "worker")), Outcomes{
				Succeeded: rapid.IntRange(0, 3).Draw(t, "whole"), Failed: rapid.IntRange(0, 9).Draw(t, "broken"),
			})
			out := 0
			for _, each := range p.Occupancies(now, "s") {
				if !each.Usable {
					out++
				}
			}
			if n < minPeers && out > 0 || out > max(n/ejectionDivisor, 1) {
				t.Fatalf("%d of %d workers ejected", out, n)
			}
		}
	})
}
