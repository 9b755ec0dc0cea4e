package fill

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// observeSeries records a noisy series at 20 samples per second.
func observeSeries(r *Forecast, from, to time.Duration, series func(at time.Duration) float64, random *rand.Rand) {
	for at := from; at < to; at += 50 * time.Millisecond {
		n := series(at)
		r.Observe(start.Add(at), int(math.Max(n+random.NormFloat64()*math.Sqrt(n), 0)))
	}
}

func squareWave(at time.Duration) float64 {
	if at%(6600*time.Millisecond) >= 3800*time.Millisecond {
		return 66
	}
	return 13
}

func TestPeriodDetection(t *testing.T) {
	const tolerance = 150 * time.Millisecond
	tests := []struct {
		name   string
		length time.Duration
		series func(time.Duration) float64
		want   time.Duration
	}{
		{"noise", 30 * time.Second, func(time.Duration) float64 { return 60 }, 0},
		{"low rate", 30 * time.Second, func(time.Duration) float64 { return 3 }, 0},
		{"single step", 20 * time.Second, func(at time.Duration) float64 { return 20 + 40*math.Floor(at.Seconds()/10) }, 0},
		{"single burst", 20 * time.Second, func(at time.Duration) float64 {
			if at > 4*time.Second && at < 7*time.Second {
				return 70
			}
			return 13
		}, 0},
		{"linear growth", 30 * time.Second, func(at time.Duration) float64 { return 10 + 3*at.Seconds() }, 0},
		{"square wave before the second rise", 10 * time.Second, squareWave, 0},
		{"square wave after the second rise", 12 * time.Second, squareWave, 6600 * time.Millisecond},
		{"square wave after idle time", 26 * time.Second, func(at time.Duration) float64 {
			if at < 14*time.Second {
				return 0
			}
			return squareWave(at - 14*time.Second)
		}, 6600 * time.Millisecond},
		{"square wave", 40 * time.Second, squareWave, 6600 * time.Millisecond},
		{"sine wave", 40 * time.Second, func(at time.Duration) float64 { return 50 + 40*math.Sin(at.Seconds()*2*math.Pi/9) }, 9 * time.Second},
		{"square wave that has ended", 75 * time.Second, func(at time.Duration) float64 {
			if at > 40*time.Second {
				return 40
			}
			return squareWave(at)
		}, 0},
		{"irregular bursts", 30 * time.Second, func(at time.Duration) float64 {
			if s := int(at.Seconds()); s == 3 || s == 5 || s == 12 || s == 13 || s == 21 || s == 27 {
				return 70
			}
			return 13
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				var r Forecast
				observeSeries(&r, 0, test.length, test.series, rand.New(rand.NewPCG(seed, 2)))
				if got := r.Period(); (got - test.want).Abs() > tolerance {
					t.Errorf("seed %d: period %v, want %v", seed, got, test.want)
				}
			}
		})
	}
}

func TestPeakForecast(t *testing.T) {
	tests := []struct {
		name     string
		at       time.Duration // since the start of a trough
		within   time.Duration
		min, max float64
	}{
		{"within a trough", 500 * time.Millisecond, time.Second, 5, 30},
		{"from a trough into a peak", 500 * time.Millisecond, 4 * time.Second, 60, 95},
		{"shortly before a peak", 3500 * time.Millisecond, time.Second, 60, 95},
		{"at a peak", 5 * time.Second, time.Second, 60, 95},
		{"longer than a period", 500 * time.Millisecond, time.Minute, 60, 95},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Forecast
			until := 4*6600*time.Millisecond + test.at
			observeSeries(&r, 0, until, squareWave, rand.New(rand.NewPCG(1, 2)))
			if got, known := r.Peak(start.Add(until), test.within); !known || got < test.min || got > test.max {
				t.Errorf("peak %v, known %t", got, known)
			}
		})
	}
}

func TestHistoryIsDroppedAfterObservationGap(t *testing.T) {
	var r Forecast
	random := rand.New(rand.NewPCG(1, 2))
	observeSeries(&r, 0, 20*time.Second, squareWave, random)
	observeSeries(&r, 20*time.Second+2*historyWindow, 25*time.Second+2*historyWindow, squareWave, random)
	if r.Period() != 0 || len(r.samples) > int(historyWindow/binWidth) {
		t.Errorf("period %v from %d samples, want none", r.Period(), len(r.samples))
	}
}

// Poisson arrivals with a mean service time of 0.6 s. Checks for which share of the time the
// correct period and a wrong one are reported.
func TestPeriodDetectionOfRandomArrivals(t *testing.T) {
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
		rate  func(time.Duration) float64 // requests per second
		right float64                     // minimum share of the time with the correct period
		other float64                     // maximum share of the time with a wrong period
	}{
		{"high rate", steps(22, 110), 0.55, 0.05},
		{"low rate", steps(6, 30), 0.55, 0.08},
		{"high rate with a burst", burst(steps(22, 110)), 0.3, 0.1},
		{"constant", steps(60, 60), 0, 0.01},
		{"constant with a burst", burst(steps(60, 60)), 0, 0.01},
		{"constant low rate", steps(5, 5), 0, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const seeds, tick = 6, 20 * time.Millisecond
			looks, right, other := 0.0, 0.0, 0.0
			for seed := range uint64(seeds) {
				var r Forecast
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
				t.Errorf("correct period for %.2f of the time, wrong period for %.2f", right/looks, other/looks)
			}
		})
	}
}

func BenchmarkDetectPeriod(b *testing.B) {
	var r Forecast
	observeSeries(&r, 0, 40*time.Second, squareWave, rand.New(rand.NewPCG(1, 2)))
	for b.Loop() {
		detectPeriod(r.samples)
	}
}
