package worker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// paceReport is one reported pace.
type paceReport struct {
	at   time.Duration
	pace float64
}

func TestPaceEstimate(t *testing.T) {
	const ms = time.Millisecond
	steady := func(pace float64, n int) (words []paceReport) {
		for i := range n {
			words = append(words, paceReport{time.Duration(i) * 200 * ms, pace})
		}
		return words
	}
	tests := []struct {
		name        string
		words       []paceReport
		at          time.Duration
		value, slow float64 // 0 if unknown
	}{
		{"no report", nil, 0, 0, 0},
		{"first report", []paceReport{{0, 0.7}}, 0, 0.7, 0.7},
		{"transient, just reported", append(steady(0.7, 20), paceReport{4000 * ms, 4.25}), 4000 * ms, 4.25, 0.92},
		{"transient, decayed", append(steady(0.7, 20), paceReport{4000 * ms, 4.25}), 6000 * ms, 0.92, 0.92},
		{"out-of-order report causes no transient", append(steady(0.7, 20), paceReport{3000 * ms, 4.25}), 3800 * ms, 0.7, 0.92},
		{"average follows a change of machine", append(steady(0.7, 10), paceReport{30 * time.Second, 1.7}, paceReport{40 * time.Second, 1.7}), 40 * time.Second, 1.7, 1.7},
		{"estimate expires", steady(0.7, 20), 40 * time.Second, 0, 0},
		{"clamped to the minimum", steady(0.001, 20), 3800 * ms, minPace, minPace},
		{"clamped to the maximum", steady(1000, 20), 3800 * ms, maxPace, maxPace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(1)
			for _, w := range test.words {
				p.RecordPace(testStart.Add(w.at), "w0", w.pace)
			}
			got, known := p.PaceOf(testStart.Add(test.at), "w0")
			if known != (test.value > 0) || math.Abs(got.Value-test.value) > 0.03 || math.Abs(got.Stable-test.slow) > 0.03 {
				t.Errorf("%+v, known %t", got, known)
			}
		})
	}
}

// The estimate stays within the range of the reports, in whatever order they arrive.
func TestPaceEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(1)
		least, most := math.Inf(1), 0.0
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, "later")) * time.Millisecond)
			pace := rapid.Float64Range(0.3, 7).Draw(t, "pace")
			least, most = min(least, pace), max(most, pace)
			if rapid.Bool().Draw(t, "learned") {
				p.SetStablePace(now, "w0", pace)
			} else {
				p.RecordPace(now, "w0", pace)
			}
			if got, known := p.PaceOf(now, "w0"); known && (got.Stable < least-1e-9 || got.Stable > most+1e-9 || got.Value < least-1e-9 || got.Value > most+1e-9) {
				t.Fatalf("%+v for reports from %v to %v", got, least, most)
			}
		}
	})
}

// pacedPool returns a pool of three workers: w0 fast, w1 usual, w2 slow.
func pacedPool() *Pool {
	p := testPool(3)
	for i, pace := range []float64{0.7, 1, 1.7} {
		for range maxPaceSamples {
			p.RecordPace(testStart, fmt.Sprint("w", i), pace)
		}
	}
	return p
}

func TestChooseByPace(t *testing.T) {
	tests := []struct {
		name  string
		held  []int // requests at w0, w1, w2
		query Query
		want  string
	}{
		{"fast worker if all are empty", []int{0, 0, 0}, Query{}, "w0"},
		{"fast worker while it has free slots", []int{6, 2, 0}, Query{}, "w0"},
		{"usual worker if the fast one is full", []int{10, 2, 0}, Query{}, "w1"},
		{"slow worker if the others are full", []int{14, 12, 0}, Query{}, "w2"},
		{"excluded worker", []int{0, 0, 0}, Query{Excluded: []string{"w0"}}, "w1"},
		{"long prompt to the fast worker", []int{4, 0, 0}, Query{Tokens: 20_000}, "w0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := pacedPool()
			for i, n := range test.held {
				for range n {
					p.Begin(fmt.Sprint("w", i), 0)
				}
			}
			if got := choose(t, p, testStart, test.query); got != test.want {
				t.Errorf("chose %s", got)
			}
		})
	}
}

func TestTransientSlowdownIsAvoided(t *testing.T) {
	p := pacedPool()
	p.RecordLoad(testStart, "w0", Load{Slots: 10, Pace: 4})
	if got := choose(t, p, testStart, Query{}); got != "w1" {
		t.Errorf("chose %s during a transient of w0", got)
	}
	if got := choose(t, p, testStart.Add(2*time.Second), Query{}); got != "w0" {
		t.Errorf("chose %s after the transient", got)
	}
}

func TestChoicePaceSource(t *testing.T) {
	p := testPool(1)
	ask := func() PaceSource {
		choice, _ := p.Choose(testStart, Query{Service: "s"}, newRand())
		return choice.Pace.Source
	}
	if got := ask(); got != PaceUnknown {
		t.Errorf("source without a report: %q", got)
	}
	p.SetStablePace(testStart, "w0", 0.7)
	if got := ask(); got != PaceFromLeader {
		t.Errorf("source after LearnPace: %q", got)
	}
	p.Put(Worker{ID: "w1", Service: "s", Zone: "a", Slots: 10})
	choice, _ := p.Choose(testStart, Query{Service: "s", Excluded: []string{"w0"}}, newRand())
	if choice.Pace.Source != PaceFromPeers || choice.Pace.Value != 0.7 || choice.Pace.Age >= 0 {
		t.Errorf("pace of an unknown worker: %+v", choice.Pace)
	}
}

// Guards against overloading a new worker that sixty processes see appear empty at once.
func TestSlowStartOfAddedWorker(t *testing.T) {
	source := newRand()
	newWorkerRequests := func(within time.Duration) (n int) {
		for range 60 {
			p := NewPool(TwoChoiceSettings("a"))
			for i := range 20 {
				p.Put(Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 8})
				p.SetStablePace(testStart, fmt.Sprint("w", i), 1)
			}
			p.Choose(testStart, Query{Service: "s"}, source)
			for i := range 20 {
				p.RecordLoad(testStart, fmt.Sprint("w", i), Load{Running: 6, Slots: 8, Pace: 1})
			}
			p.Put(Worker{ID: "new", Service: "s", Zone: "a", Slots: 8})
			p.Choose(testStart, Query{Service: "s"}, source)
			for range 4 { // requests of each process before it hears from the new worker
				if choice, _ := p.Choose(testStart.Add(within), Query{Service: "s"}, source); choice.Worker.ID == "new" {
					n++
				}
			}
		}
		return n
	}
	if n := newWorkerRequests(time.Millisecond); n > 8 {
		t.Errorf("%d of 240 requests went to a new worker of 8 slots at once", n)
	}
	if n := newWorkerRequests(slowStartWindow); n < 10 {
		t.Errorf("%d of 240 requests went to it after the slow start", n)
	}
}

func TestSlowStartKeepsOnlyCandidate(t *testing.T) {
	p := NewPool(TwoChoiceSettings("a"))
	p.Put(Worker{ID: "w0", Service: "s", Zone: "a", Slots: 8})
	p.Choose(testStart, Query{Service: "s"}, newRand())
	p.SetStablePace(testStart, "w0", 1)
	p.Put(Worker{ID: "w1", Service: "s", Zone: "a", Slots: 8})
	choice, ok := p.Choose(testStart, Query{Service: "s", Excluded: []string{"w0"}}, newRand())
	if !ok || choice.Worker.ID != "w1" {
		t.Errorf("%+v %t: the only remaining worker is not offered", choice, ok)
	}
}

// A prompt part that takes longer to read than the request itself goes to its affinity
// worker also where only two workers are sampled.
func TestAffinityWorkerIsSampled(t *testing.T) {
	source := rand.New(rand.NewPCG(3, 4))
	agreed := map[string]int{}
	for range 40 {
		p := NewPool(TwoChoiceSettings("a"))
		for i := range 20 {
			p.Put(Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 8})
			p.SetStablePace(testStart, fmt.Sprint("w", i), 1)
		}
		choice, _ := p.Choose(testStart, Query{Service: "s", Parts: []Part{{ID: "large", Tokens: 10_000}, {ID: "own", Tokens: 100}}}, source)
		agreed[choice.Worker.ID]++
	}
	if len(agreed) != 1 {
		t.Errorf("chose %v", agreed)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, paced := range []bool{false, true} {
		for name, settings := range map[string]Settings{"all": DefaultSettings("a"), "two": TwoChoiceSettings("a")} {
			p := NewPool(settings)
			for i := range 417 {
				id := fmt.Sprint("w", i)
				p.Put(Worker{ID: id, Service: "s", Zone: "a", Slots: 8})
				if paced {
					p.RecordPace(testStart, id, 1)
				}
			}
			query := Query{Service: "s", Parts: []Part{{ID: "shared", Tokens: 600}, {ID: "own", Tokens: 200}}}
			source := newRand()
			b.Run(fmt.Sprintf("paced=%t/%s", paced, name), func(b *testing.B) {
				for b.Loop() {
					p.Choose(testStart, query, source)
				}
			})
		}
	}
}
