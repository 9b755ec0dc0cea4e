package fill

import (
	"math"
	"slices"
	"time"
)

const (
	// binWidth is the sampling interval.
	binWidth = 100 * time.Millisecond
	// historyWindow is how long samples are kept. An item ends within seconds, so that
	// longer periods need no forecast.
	historyWindow = 30 * time.Second
	// minPeriod excludes periods too short for preemption to follow.
	minPeriod = time.Second
	// detectInterval is the interval between two detections.
	detectInterval = 500 * time.Millisecond
	// minSwing is the minimum range from the 10th to the 90th percentile, in standard
	// deviations of a Poisson distribution, to look for a period. A constant rate gives
	// 2.6.
	minSwing = 4
	// maxRepeatError and minDistinctError are mean square differences relative to those of
	// unrelated samples: at most maxRepeatError one period apart, at least
	// minDistinctError at some shorter distance.
	maxRepeatError, minDistinctError = 0.4, 0.5
	// comparedPeriods is the number of latest periods to compare, so that an isolated burst
	// loses its effect.
	comparedPeriods = 3
	// minVarianceShare is the minimum share of the total variance in the compared samples.
	// Otherwise they may cover only a trough.
	minVarianceShare = 0.5
	// minOverlap is the minimum share of a period that has been seen twice.
	minOverlap = 0.5
)

// Forecast detects the period of a time series by comparing it with itself shifted in time,
// and forecasts its peaks. The zero value is ready to use.
type Forecast struct {
	samples    []float64 // one per bin, oldest first
	latestBin  time.Time // start of the latest bin
	detectedAt time.Time
	period     int       // in bins; 0 if none was detected
	peaks      []float64 // highest expected sample by number of bins from peaksBin
	peaksBin   time.Time // the bin for which peaks was computed
}

// Observe records a value. The sample of a bin is its highest value.
func (r *Forecast) Observe(now time.Time, n int) {
	r.advance(now, float64(n))
	last := len(r.samples) - 1
	r.samples[last] = max(r.samples[last], float64(n))
	if now.Sub(r.detectedAt) >= detectInterval {
		r.detectedAt = now
		r.period = detectPeriod(r.samples)
		r.peaksBin = time.Time{}
	}
}

// advance adds bins up to now. Bins without an observation repeat the sample before them.
// The history is dropped after a gap of historyWindow, and while it holds only zeros: idle
// time after a start would hide the period of what follows.
func (r *Forecast) advance(now time.Time, n float64) {
	if len(r.samples) == 0 || now.Sub(r.latestBin) >= historyWindow || len(r.samples) == 1 && r.samples[0] == 0 {
		*r = Forecast{samples: []float64{n}, latestBin: now}
		return
	}
	for now.Sub(r.latestBin) >= binWidth {
		next := n
		if now.Sub(r.latestBin) >= 2*binWidth {
			next = r.samples[len(r.samples)-1]
		}
		r.samples = append(r.samples, next)
		r.latestBin = r.latestBin.Add(binWidth)
	}
	if more := len(r.samples) - int(historyWindow/binWidth); more > 0 {
		r.samples = slices.Delete(r.samples, 0, more)
	}
}

// Period returns the detected period, or 0 if there is none.
func (r *Forecast) Period() time.Duration { return time.Duration(r.period) * binWidth }

// Mean returns the mean value over the last period, or 0 if no period was detected.
func (r *Forecast) Mean() float64 {
	mean, _ := moments(r.samples[len(r.samples)-r.period:])
	return mean
}

// Peak returns the highest value expected within a duration from now, based on the previous
// period. It returns false if no period was detected.
func (r *Forecast) Peak(now time.Time, within time.Duration) (float64, bool) {
	if r.period == 0 {
		return 0, false
	}
	r.advance(now, r.samples[len(r.samples)-1])
	if r.peaksBin != r.latestBin {
		r.peaksBin = r.latestBin
		r.peaks = expectedPeaks(r.samples, r.period)
	}
	return r.peaks[min(max(int(within/binWidth), 0), len(r.peaks)-1)], true
}

// expectedPeaks returns, for each number of bins from now, the highest sample of the
// corresponding span one period ago. The span is extended by one bin on each side, the
// precision of the period.
func expectedPeaks(samples []float64, period int) []float64 {
	peak := make([]float64, period)
	from, highest := len(samples)-1-period, 0.0
	for i := range peak {
		for j := max(from+i-1, 0); j <= min(from+i+1, len(samples)-1); j++ {
			highest = max(highest, samples[j])
		}
		peak[i] = highest
	}
	return peak
}

// detectPeriod returns the shortest distance, in bins, at which samples repeat beyond a
// distance at which they differ, or 0 if there is none.
func detectPeriod(samples []float64) int {
	mean, variance := moments(samples)
	sorted := slices.Sorted(slices.Values(samples))
	tenth := len(sorted) / 10
	if len(sorted) < 2*int(minPeriod/binWidth) || sorted[len(sorted)-1-tenth]-sorted[tenth] < minSwing*math.Sqrt(max(mean, 1)) {
		return 0
	}
	differ, best, lowest := false, 0, maxRepeatError
	for lag := int(minPeriod / binWidth); float64(len(samples)-lag) >= minOverlap*float64(lag); lag++ {
		differ = differ || meanSquareDifference(samples, lag) >= minDistinctError*2*variance
		latest := samples[max(len(samples)-comparedPeriods*lag, 0):]
		_, before := moments(latest[:len(latest)-lag])
		_, after := moments(latest[lag:])
		if !differ || min(before, after) < minVarianceShare*variance {
			continue
		}
		if best > 0 && lag > best+best/2 {
			break // only multiples follow
		}
		if apart := meanSquareDifference(latest, lag) / (before + after); apart < lowest {
			best, lowest = lag, apart
		}
	}
	return best
}

// meanSquareDifference compares samples that are lag bins apart.
func meanSquareDifference(samples []float64, lag int) float64 {
	sum := 0.0
	for i := lag; i < len(samples); i++ {
		sum += (samples[i] - samples[i-lag]) * (samples[i] - samples[i-lag])
	}
	return sum / float64(len(samples)-lag)
}

func moments(samples []float64) (mean, variance float64) {
	for _, s := range samples {
		mean += s / float64(len(samples))
	}
	for _, s := range samples {
		variance += (s - mean) * (s - mean) / float64(len(samples))
	}
	return mean, variance
}
