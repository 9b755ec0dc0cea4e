package fill

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// seenBy lets a rhythm see what a number was, 20 times a second.
func seenBy(r *Rhythm, from, to time.Duration, number func(at time.Duration) float64, random *rand.Rand) {
	for at := from; at < to; at += 50 * time.Millisecond {
		n := number(at)
		r.Observe(start.Add(at), int(math.Max(n+random.NormFloat64()*math.Sqrt(n), 0)))
	}
}

func stepped(at time.Duration) float64 {
	if at%(6600*time.Millisecond) >= 3800*time.Millisecond {
		return 66
	}
	return 13
}

func TestRhythmLearnsAPeriodThatStandsOut(t *testing.T) {
	const tolerance = 150 * time.Millisecond
	tests := []struct {
		name   string
		seen   time.Duration
		number func(time.Duration) float64
		want   time.Duration
	}{
		{"nothing but noise", 30 * time.Second, func(time.Duration) float64 { return 60 }, 0},
		{"few requests", 30 * time.Second, func(time.Duration) float64 { return 3 }, 0},
		{"one step up", 20 * time.Second, func(at time.Duration) float64 { return 20 + 40*math.Floor(at.Seconds()/10) }, 0},
		{"one burst", 20 * time.Second, func(at time.Duration) float64 {
			if at > 4*time.Second && at < 7*time.Second {
				return 70
			}
			return 13
		}, 0},
		{"a slow growth", 30 * time.Second, func(at time.Duration) float64 { return 10 + 3*at.Seconds() }, 0},
		{"steps, before the second rise", 10 * time.Second, stepped, 0},
		{"steps, after it", 12 * time.Second, stepped, 6600 * time.Millisecond},
		{"steps, after a time without any", 26 * time.Second, func(at time.Duration) float64 {
			if at < 14*time.Second {
				return 0
			}
			return stepped(at - 14*time.Second)
		}, 6600 * time.Millisecond},
		{"steps", 40 * time.Second, stepped, 6600 * time.Millisecond},
		{"a wave", 40 * time.Second, func(at time.Duration) float64 { return 50 + 40*math.Sin(at.Seconds()*2*math.Pi/9) }, 9 * time.Second},
		{"steps that have ended", 75 * time.Second, func(at time.Duration) float64 {
			if at > 40*time.Second {
				return 40
			}
			return stepped(at)
		}, 0},
		{"bursts without a period", 30 * time.Second, func(at time.Duration) float64 {
			if s := int(at.Seconds()); s == 3 || s == 5 || s == 12 || s == 13 || s == 21 || s == 27 {
				return 70
			}
			return 13
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				var r Rhythm
				seenBy(&r, 0, test.seen, test.number, rand.New(rand.NewPCG(seed, 2)))
				if got := r.Period(); (got - test.want).Abs() > tolerance {
					t.Errorf("seed %d: %v, want %v", seed, got, test.want)
				}
			}
		})
	}
}

func TestRhythmExpectsTheNextRise(t *testing.T) {
	tests := []struct {
		name        string
		at          time.Duration // since the beginning of a trough
		within      time.Duration
		least, most float64
	}{
		{"in a trough, for a moment", 500 * time.Millisecond, time.Second, 5, 30},
		{"in a trough, over the rise", 500 * time.Millisecond, 4 * time.Second, 60, 95},
		{"shortly before the rise", 3500 * time.Millisecond, time.Second, 60, 95},
		{"on the height", 5 * time.Second, time.Second, 60, 95},
		{"longer than a period", 500 * time.Millisecond, time.Minute, 60, 95},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Rhythm
			until := 4*6600*time.Millisecond + test.at
			seenBy(&r, 0, until, stepped, rand.New(rand.NewPCG(1, 2)))
			if got, known := r.Peak(start.Add(until), test.within); !known || got < test.least || got > test.most {
				t.Errorf("%v %t", got, known)
			}
		})
	}
}

// TestRhythmAfterATimeWithoutALook: what was not looked at says nothing.
func TestRhythmAfterATimeWithoutALook(t *testing.T) {
	var r Rhythm
	random := rand.New(rand.NewPCG(1, 2))
	seenBy(&r, 0, 20*time.Second, stepped, random)
	seenBy(&r, 20*time.Second+2*window, 25*time.Second+2*window, stepped, random)
	if r.Period() != 0 || len(r.samples) > int(window/bin) {
		t.Errorf("%v of %d samples", r.Period(), len(r.samples))
	}
}

// TestRhythmOfRequests that come by chance and stay for 0.6 s, over 34 s: for which share of
// the time the right period is known, and another one.
func TestRhythmOfRequests(t *testing.T) {
	steps := func(low, high float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at%(6600*time.Millisecond) >= 3800*time.Millisecond {
				return high
			}
			return low
		}
	}
	burst := func(rate func(time.Duration) float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at > 10*time.Second && at < 14*time.Second {
				return 1.8 * rate(at)
			}
			return rate(at)
		}
	}
	tests := []struct {
		name  string
		rate  func(time.Duration) float64 // a second
		right float64
		other float64
	}{
		{"many", steps(22, 110), 0.55, 0.05},
		{"few", steps(6, 30), 0.55, 0.08},
		{"many, one step nearly doubled", burst(steps(22, 110)), 0.3, 0.1},
		{"steady", steps(60, 60), 0, 0.01},
		{"steady, one burst", burst(steps(60, 60)), 0, 0.01},
		{"steady and few", steps(5, 5), 0, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const seeds, tick = 6, 20 * time.Millisecond
			looks, right, other := 0.0, 0.0, 0.0
			for seed := range uint64(seeds) {
				var r Rhythm
				random := rand.New(rand.NewPCG(seed, 9))
				var ends []time.Duration
				for at := time.Duration(0); at < 34*time.Second; at += tick {
					ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= at })
					for left := random.ExpFloat64(); left < test.rate(at)*tick.Seconds(); left += random.ExpFloat64() {
						ends = append(ends, at+time.Duration((0.3+0.3*random.ExpFloat64())*float64(time.Second)))
					}
					r.Observe(start.Add(at), len(ends))
					looks++
					if p := r.Period(); (p - 6600*time.Millisecond).Abs() <= 200*time.Millisecond {
						right++
					} else if p > 0 {
						other++
					}
				}
			}
			if right/looks < test.right || other/looks > test.other {
				t.Errorf("the right period is known for %.2f of the time, another for %.2f", right/looks, other/looks)
			}
		})
	}
}

func BenchmarkLearn(b *testing.B) {
	var r Rhythm
	seenBy(&r, 0, 40*time.Second, stepped, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		learn(r.samples)
	}
}
