package fill

import (
	"math"
	"slices"
	"time"
)

const (
	// bin is the time that one sample stands for: fine enough for a rise, which takes
	// as long as one request of those that rise.
	bin = 100 * time.Millisecond
	// window is how long demand is remembered. Slower swings need no rhythm: an item
	// runs for seconds and ends before they have passed.
	window = 30 * time.Second
	// shortestPeriod: faster ones are over before an item would have given way.
	shortestPeriod = time.Second
	// learnInterval is between two looks for a period.
	learnInterval = 500 * time.Millisecond
	// leastSwing is how many standard deviations of a steady number of requests lie
	// between its highest and lowest tenth before a swing is looked for: chance alone
	// gives 2.6.
	leastSwing = 4
	// Of the square difference that two samples have by chance, one period apart have at
	// most sameShare; samples between two swings have at least otherShare.
	sameShare, otherShare = 0.4, 0.5
	// comparedPeriods, the latest, are compared: a burst of one period is forgotten.
	comparedPeriods = 3
	// seenShare of the whole variance is in the samples that were seen to come again: else
	// only what is between two rises has been compared.
	seenShare = 0.5
	// leastOverlap of a period has been seen twice.
	leastOverlap = 0.5
)

// Rhythm sees a number come and go, and learns the period in which it does. The zero
// value has seen nothing.
type Rhythm struct {
	samples   []float64 // of one bin each, the latest last
	at        time.Time // of the latest bin's beginning
	learnedAt time.Time
	period    int       // in bins; 0: none stands out
	peak      []float64 // highest expected within so many bins from now
	peakAt    time.Time // the bin of which peak tells
}

// Observe takes the number now. The highest of a bin counts.
func (r *Rhythm) Observe(now time.Time, n int) {
	r.advance(now, float64(n))
	last := len(r.samples) - 1
	r.samples[last] = max(r.samples[last], float64(n))
	if now.Sub(r.learnedAt) >= learnInterval {
		r.learnedAt = now
		r.period = learn(r.samples)
		r.peakAt = time.Time{}
	}
}

// advance opens the bin of now. What was not looked at was as it was before; after a
// whole window without a look nothing is known. Before the first request nothing is
// seen: the time of a fleet that has just started would hide the period of what follows.
func (r *Rhythm) advance(now time.Time, n float64) {
	if len(r.samples) == 0 || now.Sub(r.at) >= window || len(r.samples) == 1 && r.samples[0] == 0 {
		*r = Rhythm{samples: []float64{n}, at: now}
		return
	}
	for now.Sub(r.at) >= bin {
		next := n
		if now.Sub(r.at) >= 2*bin {
			next = r.samples[len(r.samples)-1]
		}
		r.samples = append(r.samples, next)
		r.at = r.at.Add(bin)
	}
	if more := len(r.samples) - int(window/bin); more > 0 {
		r.samples = slices.Delete(r.samples, 0, more)
	}
}

// Period is the one that stands out; 0: none does.
func (r *Rhythm) Period() time.Duration { return time.Duration(r.period) * bin }

// Mean is the mean of the number over the last period; 0 while none stands out.
func (r *Rhythm) Mean() float64 {
	mean, _ := moments(r.samples[len(r.samples)-r.period:])
	return mean
}

// Peak is the highest number that is expected within a time from now, by what was
// seen one period ago; false while no period stands out.
func (r *Rhythm) Peak(now time.Time, within time.Duration) (float64, bool) {
	if r.period == 0 {
		return 0, false
	}
	r.advance(now, r.samples[len(r.samples)-1])
	if r.peakAt != r.at {
		r.peakAt = r.at
		r.peak = ahead(r.samples, r.period)
	}
	return r.peak[min(max(int(within/bin), 0), len(r.peak)-1)], true
}

// ahead gives the highest of the samples that lie one period before the next ones, for
// each number of bins from now. One bin more on each side: the period is known to a bin.
func ahead(samples []float64, period int) []float64 {
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

// learn finds the shortest distance in bins at which samples come again, once beyond a
// distance at which they differ; 0 if there is none.
func learn(samples []float64) int {
	mean, variance := moments(samples)
	sorted := slices.Sorted(slices.Values(samples))
	tenth := len(sorted) / 10
	if len(sorted) < 2*int(shortestPeriod/bin) || sorted[len(sorted)-1-tenth]-sorted[tenth] < leastSwing*math.Sqrt(max(mean, 1)) {
		return 0
	}
	differ, best, least := false, 0, sameShare
	for lag := int(shortestPeriod / bin); float64(len(samples)-lag) >= leastOverlap*float64(lag); lag++ {
		differ = differ || difference(samples, lag) >= otherShare*2*variance
		latest := samples[max(len(samples)-comparedPeriods*lag, 0):]
		_, before := moments(latest[:len(latest)-lag])
		_, after := moments(latest[lag:])
		if !differ || min(before, after) < seenShare*variance {
			continue
		}
		if best > 0 && lag > best+best/2 {
			break // multiples say nothing new
		}
		if apart := difference(latest, lag) / (before + after); apart < least {
			best, least = lag, apart
		}
	}
	return best
}

// difference is the mean square difference of samples that are so many bins apart.
func difference(samples []float64, lag int) float64 {
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
