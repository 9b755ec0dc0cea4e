package worker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// toldOutcomes is what is told of one worker at one moment.
type toldOutcomes struct {
	at            time.Duration
	id            string
	whole, broken int
}

func TestAnOutlierIsLeftOut(t *testing.T) {
	const s = time.Second
	peers := func(whole, broken int) (list []toldOutcomes) {
		for i := 1; i < 8; i++ {
			list = append(list, toldOutcomes{0, fmt.Sprint("w", i), whole, broken})
		}
		return list
	}
	tests := []struct {
		name string
		told []toldOutcomes
		at   time.Duration
		out  bool
	}{
		{"nothing told", nil, 0, false},
		{"it resets all", append(peers(5, 0), toldOutcomes{0, "w0", 0, 3}), 0, true},
		{"it fails a part", append(peers(5, 0), toldOutcomes{0, "w0", 4, 3}), 0, true},
		{"it fails a small part", append(peers(5, 0), toldOutcomes{0, "w0", 20, 3}), 0, false},
		{"one reset", append(peers(5, 0), toldOutcomes{0, "w0", 0, 1}), 0, false},
		{"all fail alike", append(peers(3, 3), toldOutcomes{0, "w0", 3, 4}), 0, false},
		{"failures long ago", append(peers(5, 0), toldOutcomes{0, "w0", 0, 2}, toldOutcomes{9 * s, "w0", 0, 1}), 9 * s, false},
		{"words of no sense", append(peers(5, 0), toldOutcomes{0, "w0", -9, 4}), 0, false},
		{"its time is over", append(peers(5, 0), toldOutcomes{0, "w0", 0, 3}), firstOut, false},
		{"its trial fails", append(peers(5, 0), toldOutcomes{0, "w0", 0, 3}, toldOutcomes{firstOut, "w0", 0, 1}), 2 * firstOut, true},
		{"its trial is answered", append(peers(5, 0), toldOutcomes{0, "w0", 0, 3}, toldOutcomes{firstOut, "w0", 1, 0}), firstOut, false},
		{"what was there before is no trial", append(peers(5, 0), toldOutcomes{0, "w0", 0, 3}, toldOutcomes{firstOut / 2, "w0", 1, 0}), firstOut - 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(8)
			for _, told := range test.told {
				p.TakeOutcomes(start.Add(told.at), told.id, Outcomes{Whole: told.whole, Broken: told.broken})
			}
			now := start.Add(test.at)
			if got := p.Occupancies(now, "s")[0].Usable; got == test.out {
				t.Errorf("usable %t", got)
			}
			chosen := false
			for range 50 {
				choice, _ := p.Choose(now, Query{Service: "s"}, random())
				p.Begin(choice.Worker.ID, 0)
				chosen = chosen || choice.Worker.ID == "w0"
			}
			if chosen == test.out {
				t.Errorf("chosen %t", chosen)
			}
		})
	}
}

// A process hears of the workers that it fills, not of all: its bound is a part of those.
func TestTheBoundIsOfThoseHeardOf(t *testing.T) {
	p := testPool(40)
	for i := range 8 {
		p.TakeOutcomes(start, fmt.Sprint("w", i), Outcomes{Whole: 30})
	}
	for n := range 6 {
		p.TakeOutcomes(start, fmt.Sprint("w", n), Outcomes{Broken: 90})
	}
	out := 0
	for _, each := range p.Occupancies(start, "s") {
		if !each.Usable {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d of 8 are left out", out)
	}
}

func TestWhereAllFailNoneIsLeftOut(t *testing.T) {
	p := testPool(8)
	for n := range 20 {
		for i := range 8 {
			p.TakeOutcomes(start.Add(time.Duration(n)*100*time.Millisecond), fmt.Sprint("w", i), Outcomes{Whole: 1, Broken: 2})
		}
	}
	for _, each := range p.Occupancies(start.Add(2*time.Second), "s") {
		if !each.Usable {
			t.Errorf("%s is left out", each.ID)
		}
	}
}

func TestATrialIsOneRequest(t *testing.T) {
	p := testPool(4)
	p.TakeOutcomes(start, "w1", Outcomes{Whole: 5})
	p.TakeOutcomes(start, "w2", Outcomes{Whole: 5})
	p.TakeOutcomes(start, "w0", Outcomes{Broken: 3})
	now := start.Add(firstOut)
	n := 0
	for range 40 {
		choice, _ := p.Choose(now, Query{Service: "s"}, random())
		p.Begin(choice.Worker.ID, 0)
		if choice.Worker.ID == "w0" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d requests went there before one was answered", n)
	}
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 1 {
		t.Errorf("%d slots are offered", slots)
	}
	p.Begin("w0", 0)
	p.Begin("w0", 0)
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 3 {
		t.Errorf("%d slots beside 3 requests that run there", slots)
	}
	if judgement, changed := p.TakeOutcomes(now, "w0", Outcomes{Whole: 1}); !changed || judgement.Out {
		t.Errorf("%+v %t after its answer", judgement, changed)
	}
	if slots := p.Occupancies(now, "s")[0].Slots; slots != 10 {
		t.Errorf("%d slots when it is back", slots)
	}
}

func TestTheLastOneIsOfferedAlsoWhenLeftOut(t *testing.T) {
	p := testPool(4)
	p.TakeOutcomes(start, "w1", Outcomes{Whole: 5})
	p.TakeOutcomes(start, "w2", Outcomes{Whole: 5})
	p.TakeOutcomes(start, "w0", Outcomes{Broken: 3})
	if got := choose(t, p, start, Query{Excluded: []string{"w1", "w2", "w3"}}); got != "w0" {
		t.Errorf("chose %q", got)
	}
}

// Whatever is told, at most a part of a service is left out.
func TestNeverTooManyAreLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "workers")
		p := testPool(n)
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "later")) * time.Millisecond)
			p.TakeOutcomes(now, fmt.Sprint("w", rapid.IntRange(0, n).Draw(t, "worker")), Outcomes{
				Whole: rapid.IntRange(0, 3).Draw(t, "whole"), Broken: rapid.IntRange(0, 9).Draw(t, "broken"),
			})
			out := 0
			for _, each := range p.Occupancies(now, "s") {
				if !each.Usable {
					out++
				}
			}
			if n < leastPeers && out > 0 || out > max(n/mostOut, 1) {
				t.Fatalf("%d of %d are left out", out, n)
			}
		}
	})
}
