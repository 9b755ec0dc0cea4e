package worker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// word is one word of a pace.
type word struct {
	at   time.Duration
	pace float64
}

func TestWhatIsBelievedOfAPace(t *testing.T) {
	const ms = time.Millisecond
	steady := func(pace float64, n int) (words []word) {
		for i := range n {
			words = append(words, word{time.Duration(i) * 200 * ms, pace})
		}
		return words
	}
	tests := []struct {
		name        string
		words       []word
		at          time.Duration
		value, slow float64 // 0: nothing is known
	}{
		{"nothing told", nil, 0, 0, 0},
		{"the first word", []word{{0, 0.7}}, 0, 0.7, 0.7},
		{"a moment, just told", append(steady(0.7, 20), word{4000 * ms, 4.25}), 4000 * ms, 4.25, 0.92},
		{"the moment passes", append(steady(0.7, 20), word{4000 * ms, 4.25}), 6000 * ms, 0.92, 0.92},
		{"a word that came late tells no moment", append(steady(0.7, 20), word{3000 * ms, 4.25}), 3800 * ms, 0.7, 0.92},
		{"another machine's speed is learned", append(steady(0.7, 10), word{30 * time.Second, 1.7}, word{40 * time.Second, 1.7}), 40 * time.Second, 1.7, 1.7},
		{"nothing is believed for ever", steady(0.7, 20), 40 * time.Second, 0, 0},
		{"nobody is taken for infinitely fast", steady(0.001, 20), 3800 * ms, leastPace, leastPace},
		{"nor for infinitely slow", steady(1000, 20), 3800 * ms, mostPace, mostPace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPool(1)
			for _, w := range test.words {
				p.TellPace(start.Add(w.at), "w0", w.pace)
			}
			got, known := p.PaceOf(start.Add(test.at), "w0")
			if known != (test.value > 0) || math.Abs(got.Value-test.value) > 0.03 || math.Abs(got.Slow-test.slow) > 0.03 {
				t.Errorf("%+v, known %t", got, known)
			}
		})
	}
}

// Whatever is told in whatever order, what is believed stays within what was told.
func TestABelievedPaceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(1)
		least, most := math.Inf(1), 0.0
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, "later")) * time.Millisecond)
			pace := rapid.Float64Range(0.3, 7).Draw(t, "pace")
			least, most = min(least, pace), max(most, pace)
			if rapid.Bool().Draw(t, "learned") {
				p.LearnPace(now, "w0", pace)
			} else {
				p.TellPace(now, "w0", pace)
			}
			if got, known := p.PaceOf(now, "w0"); known && (got.Slow < least-1e-9 || got.Slow > most+1e-9 || got.Value < least-1e-9 || got.Value > most+1e-9) {
				t.Fatalf("%+v of words from %v to %v", got, least, most)
			}
		}
	})
}

// paced is a pool of three workers: w0 fast, w1 usual, w2 slow.
func paced() *Pool {
	p := testPool(3)
	for i, pace := range []float64{0.7, 1, 1.7} {
		for range paceSamples {
			p.TellPace(start, fmt.Sprint("w", i), pace)
		}
	}
	return p
}

func TestWhereARequestGoesByPace(t *testing.T) {
	tests := []struct {
		name  string
		held  []int // at w0, w1, w2
		query Query
		want  string
	}{
		{"the fast one, all empty", []int{0, 0, 0}, Query{}, "w0"},
		{"the fast one, while its slots last", []int{6, 2, 0}, Query{}, "w0"},
		{"another before a wait there", []int{10, 2, 0}, Query{}, "w1"},
		{"the slow one is not starved", []int{14, 12, 0}, Query{}, "w2"},
		{"none that it was turned away from", []int{0, 0, 0}, Query{Excluded: []string{"w0"}}, "w1"},
		{"a long prompt is read where that is fast", []int{4, 0, 0}, Query{Tokens: 20_000}, "w0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := paced()
			for i, n := range test.held {
				for range n {
					p.Begin(fmt.Sprint("w", i), 0)
				}
			}
			if got := choose(t, p, start, test.query); got != test.want {
				t.Errorf("chose %s", got)
			}
		})
	}
}

func TestAMomentOfAFastWorkerIsLeftOut(t *testing.T) {
	p := paced()
	p.Report(start, "w0", Load{Slots: 10, Pace: 4})
	if got := choose(t, p, start, Query{}); got != "w1" {
		t.Errorf("chose %s in its moment", got)
	}
	if got := choose(t, p, start.Add(2*time.Second), Query{}); got != "w0" {
		t.Errorf("chose %s when it had passed", got)
	}
}

func TestAChoiceTellsWhoseWordItRestsOn(t *testing.T) {
	p := testPool(1)
	ask := func() PaceSource {
		choice, _ := p.Choose(start, Query{Service: "s"}, random())
		return choice.Pace.Source
	}
	if got := ask(); got != PaceUnknown {
		t.Errorf("without a word: %q", got)
	}
	p.LearnPace(start, "w0", 0.7)
	if got := ask(); got != PaceGathered {
		t.Errorf("learned: %q", got)
	}
	p.Put(Worker{ID: "w1", Service: "s", Zone: "a", Slots: 10})
	choice, _ := p.Choose(start, Query{Service: "s", Excluded: []string{"w0"}}, random())
	if choice.Pace.Source != PaceUsual || choice.Pace.Value != 0.7 || choice.Pace.Age >= 0 {
		t.Errorf("of one that nothing is known of: %+v", choice.Pace)
	}
}

// Sixty processes see a worker appear at the same moment, as the emptiest of all.
func TestAWorkerThatJoinsIsApproachedByARamp(t *testing.T) {
	source := random()
	rush := func(within time.Duration) (n int) {
		for range 60 {
			p := NewPool(BlindSettings("a"))
			for i := range 20 {
				p.Put(Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 8})
				p.LearnPace(start, fmt.Sprint("w", i), 1)
			}
			p.Choose(start, Query{Service: "s"}, source)
			for i := range 20 {
				p.Report(start, fmt.Sprint("w", i), Load{Running: 6, Slots: 8, Pace: 1})
			}
			p.Put(Worker{ID: "new", Service: "s", Zone: "a", Slots: 8})
			p.Choose(start, Query{Service: "s"}, source)
			for range 4 { // of each process until it has heard of the new one
				if choice, _ := p.Choose(start.Add(within), Query{Service: "s"}, source); choice.Worker.ID == "new" {
					n++
				}
			}
		}
		return n
	}
	if n := rush(time.Millisecond); n > 8 {
		t.Errorf("%d of 240 requests went to a new worker of 8 slots at once", n)
	}
	if n := rush(rampTime); n < 10 {
		t.Errorf("%d of 240 requests went to it when the ramp was over", n)
	}
}

func TestAllThatJoinAtOnceAreOffered(t *testing.T) {
	p := NewPool(BlindSettings("a"))
	p.Put(Worker{ID: "w0", Service: "s", Zone: "a", Slots: 8})
	p.Choose(start, Query{Service: "s"}, random())
	p.LearnPace(start, "w0", 1)
	p.Put(Worker{ID: "w1", Service: "s", Zone: "a", Slots: 8})
	choice, ok := p.Choose(start, Query{Service: "s", Excluded: []string{"w0"}}, random())
	if !ok || choice.Worker.ID != "w1" {
		t.Errorf("%+v %t: the only one that is left is not offered", choice, ok)
	}
}

// A part that takes longer to read than the request's work goes where all processes
// agree, also where each compares two.
func TestALargePartIsAmongTheDrawn(t *testing.T) {
	source := rand.New(rand.NewPCG(3, 4))
	agreed := map[string]int{}
	for range 40 {
		p := NewPool(BlindSettings("a"))
		for i := range 20 {
			p.Put(Worker{ID: fmt.Sprint("w", i), Service: "s", Zone: "a", Slots: 8})
			p.LearnPace(start, fmt.Sprint("w", i), 1)
		}
		choice, _ := p.Choose(start, Query{Service: "s", Parts: []Part{{ID: "large", Tokens: 10_000}, {ID: "own", Tokens: 100}}}, source)
		agreed[choice.Worker.ID]++
	}
	if len(agreed) != 1 {
		t.Errorf("chose %v", agreed)
	}
}

// A choice among the workers of one service at the design's size.
func BenchmarkChoose(b *testing.B) {
	for _, told := range []bool{false, true} {
		for name, settings := range map[string]Settings{"all": DefaultSettings("a"), "two": BlindSettings("a")} {
			p := NewPool(settings)
			for i := range 417 {
				id := fmt.Sprint("w", i)
				p.Put(Worker{ID: id, Service: "s", Zone: "a", Slots: 8})
				if told {
					p.TellPace(start, id, 1)
				}
			}
			query := Query{Service: "s", Parts: []Part{{ID: "shared", Tokens: 600}, {ID: "own", Tokens: 200}}}
			source := random()
			b.Run(fmt.Sprintf("paced=%t/%s", told, name), func(b *testing.B) {
				for b.Loop() {
					p.Choose(start, query, source)
				}
			})
		}
	}
}
