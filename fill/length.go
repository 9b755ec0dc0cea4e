package fill

import "time"

const (
	// firstRunTime of an item is assumed before one has ended.
	firstRunTime = 4 * time.Second
	// runShare and rateShare of a new run are taken into the averages.
	runShare  = 0.1
	rateShare = 0.3
	// leastPart of an item's time is expected to be left while it runs: its text may be
	// longer than the average.
	leastPart = 0.1
	// leastRate and mostRate bound how fast or slow a worker is believed to be.
	leastRate, mostRate = 0.25, 4
	// leastRateRun is the shortest run that tells a worker's rate: the reading of the
	// prompt is a small part of it.
	leastRateRun = time.Second
	// mostRates are kept; of a leader's workers there are fewer.
	mostRates = 1024
)

// Lengths learns how long items run: the text of a whole one, how long that takes, and
// at which workers it takes longer. Make it with NewLengths.
type Lengths struct {
	run   time.Duration // of a whole item, lately
	text  float64       // bytes of a whole item, lately; 0: none has ended
	rates map[string]float64
}

// NewLengths has seen no item.
func NewLengths() *Lengths { return &Lengths{run: firstRunTime, rates: map[string]float64{}} }

// Run is how long a whole item runs, lately.
func (l *Lengths) Run() time.Duration { return l.run }

// Whole takes an item's whole text and, if it ran at one worker from its beginning to
// its end, for how long; 0 if it did not.
func (l *Lengths) Whole(text int, run time.Duration) {
	if l.text == 0 {
		l.text = float64(text)
	}
	l.text += runShare * (float64(text) - l.text)
	if run > 0 {
		l.run += time.Duration(runShare * float64(run-l.run))
	}
}

// Ran takes how many bytes came of a run at a worker.
func (l *Lengths) Ran(worker string, text int, run time.Duration) {
	if l.text == 0 || text == 0 || run < leastRateRun {
		return
	}
	rate := min(max(float64(run)/float64(text)*l.text/float64(l.run), leastRate), mostRate)
	last, known := l.rates[worker]
	if !known {
		if len(l.rates) >= mostRates {
			clear(l.rates)
		}
		last = 1
	}
	l.rates[worker] = last + rateShare*(rate-last)
}

// Left is how long an item that has given so much text still has to run at a usual
// worker.
func (l *Lengths) Left(given int) time.Duration {
	part := 1.0
	if l.text > 0 {
		part = max(1-float64(given)/l.text, leastPart)
	}
	return time.Duration(part * float64(l.run))
}

// At is how long a run takes at a worker that takes so long at a usual one.
func (l *Lengths) At(worker string, usual time.Duration) time.Duration {
	if rate, ok := l.rates[worker]; ok {
		return time.Duration(rate * float64(usual))
	}
	return usual
}
