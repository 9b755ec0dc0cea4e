package worker

import (
	"fmt"
	"testing"
	"time"
)

func TestSlowness(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		steps   []time.Duration // observed of w0, w1, ...
		paces   []float64       // reported paces; 0 for none
		streams int             // streams of each worker
		at      time.Duration   // since the last observation
		slow    bool            // whether w0 is slow
	}{
		{"equal workers", []time.Duration{30 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
		{"below the threshold", []time.Duration{55 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
		{"above the threshold, no pace reported", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, true},
		{"above the threshold, explained by its pace", []time.Duration{85 * ms, 35 * ms, 33 * ms, 31 * ms}, []float64{2.5, 1, 1, 1}, 8, 0, false},
		{"above the threshold, contradicting its pace", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, []float64{0.5, 1, 1, 1}, 8, 0, true},
		{"too few streams", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, minIntervalSamples - 1, 0, false},
		{"too few peers", []time.Duration{120 * ms, 35 * ms}, nil, 8, 0, false},
		{"expired", []time.Duration{120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, intervalTTL, false},
		{"negative interval", []time.Duration{-120 * ms, 35 * ms, 33 * ms, 31 * ms}, nil, 8, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(len(test.steps))
			for i, step := range test.steps {
				id := fmt.Sprint("w", i)
				if test.paces != nil {
					p.RecordPace(testStart, id, test.paces[i])
				}
				for range test.streams {
					p.RecordEventInterval(testStart, id, step)
				}
			}
			now := testStart.Add(test.at)
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

// A slow worker is avoided while others have room and used once they are full.
func TestSlowWorkerIsChosenLast(t *testing.T) {
	p := testPool(4)
	for i, step := range []time.Duration{200, 35, 33, 31} {
		for range 8 {
			p.RecordEventInterval(testStart, fmt.Sprint("w", i), step*time.Millisecond)
		}
	}
	var order []string
	for range 30 {
		choice, _ := p.Choose(testStart, Query{Service: "s"}, newRand())
		p.Begin(choice.Worker.ID, 0)
		order = append(order, choice.Worker.ID)
	}
	for n, id := range order[:20] {
		if id == "w0" {
			t.Errorf("choice %d of 30 went to the slow worker", n)
		}
	}
	for range 40 {
		choice, _ := p.Choose(testStart, Query{Service: "s"}, newRand())
		p.Begin(choice.Worker.ID, 0)
	}
	if p.InFlight("w0") == 0 {
		t.Error("slow worker gets no requests while others queue")
	}
}
