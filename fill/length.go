package fill

import "time"

const (
	// initialRunTime is assumed until the first item has completed.
	initialRunTime = 4 * time.Second
	// runTimeWeight and rateWeight are the weights of a new run in the moving averages.
	runTimeWeight = 0.1
	rateWeight    = 0.3
	// minRemainingShare is the minimum remaining share of the run time while an item runs,
	// since its output may be longer than the average.
	minRemainingShare = 0.1
	// minRate and maxRate bound the relative run time of a worker.
	minRate, maxRate = 0.25, 4
	// minRateRun is the shortest run used to estimate a worker's rate. The prefill is a
	// small part of longer runs.
	minRateRun = time.Second
	// maxRates bounds the number of workers tracked. A leader has fewer workers.
	maxRates = 1024
)

// RunTimes estimates run times of items from moving averages of the output size, the run
// time, and the relative run time of each worker. The zero value is not usable.
type RunTimes struct {
	runTime   time.Duration // average run time of a completed item
	textBytes float64       // average output of a completed item; 0 before the first
	rates     map[string]float64
}

// NewRunTimes returns an estimator without observations.
func NewRunTimes() *RunTimes { return &RunTimes{runTime: initialRunTime, rates: map[string]float64{}} }

// Mean returns the average run time of an item.
func (l *RunTimes) Mean() time.Duration { return l.runTime }

// RecordCompleted records a completed item: the size of its output in bytes, and its run time if it
// ran at one worker without interruption, else 0.
func (l *RunTimes) RecordCompleted(text int, run time.Duration) {
	if l.textBytes == 0 {
		l.textBytes = float64(text)
	}
	l.textBytes += runTimeWeight * (float64(text) - l.textBytes)
	if run > 0 {
		l.runTime += time.Duration(runTimeWeight * float64(run-l.runTime))
	}
}

// RecordRun records a run at a worker and the number of bytes it produced.
func (l *RunTimes) RecordRun(worker string, text int, run time.Duration) {
	if l.textBytes == 0 || text == 0 || run < minRateRun {
		return
	}
	rate := min(max(float64(run)/float64(text)*l.textBytes/float64(l.runTime), minRate), maxRate)
	last, known := l.rates[worker]
	if !known {
		if len(l.rates) >= maxRates {
			clear(l.rates)
		}
		last = 1
	}
	l.rates[worker] = last + rateWeight*(rate-last)
}

// Remaining returns the expected remaining run time, at an average worker, of an item that has
// produced the given number of bytes.
func (l *RunTimes) Remaining(produced int) time.Duration {
	part := 1.0
	if l.textBytes > 0 {
		part = max(1-float64(produced)/l.textBytes, minRemainingShare)
	}
	return time.Duration(part * float64(l.runTime))
}

// AtWorker converts a run time at an average worker to one at the given worker.
func (l *RunTimes) AtWorker(worker string, usual time.Duration) time.Duration {
	if rate, ok := l.rates[worker]; ok {
		return time.Duration(rate * float64(usual))
	}
	return usual
}
