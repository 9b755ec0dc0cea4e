package worker

import "time"

// A peak is the largest value of the last seconds: what came in one burst will
// come in the next.
const (
	peakBuckets = 4
	peakBucket  = 3 * time.Second
)

type peak struct {
	highest [peakBuckets]float64
	bucket  int64 // number of the newest one since the zero time
	known   bool
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(peakBucket) }

// add notes a value.
func (p *peak) add(now time.Time, value float64) {
	p.advance(now)
	slot := &p.highest[p.bucket%peakBuckets]
	*slot = max(*slot, value)
	p.known = true
}

// advance clears what is too old.
func (p *peak) advance(now time.Time) {
	current := bucketOf(now)
	for steps := 0; p.bucket < current && steps < peakBuckets; steps++ {
		p.bucket = max(p.bucket+1, current-peakBuckets+1)
		p.highest[p.bucket%peakBuckets] = 0
	}
}

// value is the largest value lately; unknown without one.
func (p *peak) value(now time.Time, unknown float64) float64 {
	if !p.known {
		return unknown
	}
	p.advance(now)
	largest := 0.0
	for _, each := range p.highest {
		largest = max(largest, each)
	}
	return largest
}
