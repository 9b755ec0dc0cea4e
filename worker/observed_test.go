package worker

import (
	"fmt"
	"testing"
	"time"
)

func TestAWorkerFarBeyondItsPeersIsSlow(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		steps []time.Duration // observed of w0, w1, ...
		told  []float64       // their words; 0: none
		each  int             // streams of each
		at    time.Duration   // after the last one
		slow  bool            // w0 is
	}{
		{"alike", []time.Duration{30 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
		{"as unlike as requests are", []time.Duration{55 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
		{"far beyond, it tells nothing", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, true},
		{"far beyond, as it tells", []time.Duration{85 * ms, 35 * ms, 33 * ms, 31 * ms}, []float64{2.5, 1, 1, 1}, 8, 0, false},
		{"far beyond, it tells a lie", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, []float64{0.5, 1, 1, 1}, 8, 0, true},
		{"too few streams", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, leastSteps - 1, 0, false},
		{"too few peers", []time.Duration{120 * ms, 35 * ms}, nil, 8, 0, false},
		{"long ago", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, stepLife, false},
		{"no sense", []time.Duration{-120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(len(test.steps))
			for i, step := range test.steps {
				id := fmt.Sprint("w", i)
				if test.told != nil {
					p.TellPace(start, id, test.told[i])
				}
				for range test.each {
					p.ObserveStep(start, id, step)
				}
			}
			now := start.Add(test.at)
			if slowness := p.Slowness(now, "w0"); slowness > 1 != test.slow {
				t.Errorf("slowness %v", slowness)
			}
			for i := 1; i < len(test.steps); i++ {
				if slowness := p.Slowness(now, fmt.Sprint("w", i)); slowness != 1 {
					t.Errorf("w%d: slowness %v", i, slowness)
				}
			}
		})
	}
}

// One slow worker costs only itself its part: it is chosen again when others are full.
func TestASlowWorkerIsChosenLast(t *testing.T) {
	p := testPool(4)
	for i, step := range []time.Duration{200, 35, 33, 31} {
		for range 8 {
			p.ObserveStep(start, fmt.Sprint("w", i), step*time.Millisecond)
		}
	}
	var order []string
	for range 30 {
		choice, _ := p.Choose(start, Query{Service: "s"}, random())
		p.Begin(choice.Worker.ID, 0)
		order = append(order, choice.Worker.ID)
	}
	for n, id := range order[:20] {
		if id == "w0" {
			t.Errorf("choice %d of 30 went to the slow one", n)
		}
	}
	for range 40 {
		choice, _ := p.Choose(start, Query{Service: "s"}, random())
		p.Begin(choice.Worker.ID, 0)
	}
	if p.Held("w0") == 0 {
		t.Error("it is starved while others queue")
	}
}
