package quarantine

import (
	"maps"
	"slices"
	"time"
)

// evidence counts the crashes of workers that ran a request.
type evidence struct {
	unanswered int // no run there had begun to respond
	answered   int // a run had begun to respond, and no quarantined request explains the crash
}

// timeline holds times of crashes, sorted.
type timeline []time.Time

// around counts the crashes within burstWindow of a time.
func (t timeline) around(at time.Time) int {
	from, _ := slices.BinarySearchFunc(t, at.Add(-burstWindow), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(t, at.Add(burstWindow+1), time.Time.Compare)
	return to - from
}

// unexplainedCrashes marks the crashes of workers with an unanswered run of a quarantined request as
// explained, and returns the times of the others.
func (d *Detector) unexplainedCrashes() timeline {
	for _, known := range d.crashes {
		known.explained = false
	}
	for request := range d.entries {
		for worker, unanswered := range d.crashesByRequest[request] {
			if unanswered {
				d.crashes[worker].explained = true
			}
		}
	}
	times := make(timeline, 0, len(d.crashes))
	for _, known := range d.crashes {
		if !known.explained {
			times = append(times, known.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// explainedByOther reports whether another quarantined request had an unanswered run on the worker.
func (d *Detector) explainedByOther(request Digest, known *crashRecord) bool {
	for other := range d.entries {
		if other != request && known.requests[other] {
			return true
		}
	}
	return false
}

// count counts the crashes of a request. Those in a burst, which have a cause of their own, count once
// within burstWindow. With evaluatedOnly, crashes whose report window is still open are left out.
func (d *Detector) count(request Digest, unexplained timeline, evaluatedOnly bool) (count evidence) {
	workers := d.crashesByRequest[request]
	if len(workers) < d.settings.CrashThreshold-1 {
		return count // one more crash is not sufficient
	}
	crashes := make([]*crashRecord, 0, len(workers))
	for _, worker := range slices.Sorted(maps.Keys(workers)) {
		crashes = append(crashes, d.crashes[worker])
	}
	slices.SortStableFunc(crashes, func(x, y *crashRecord) int { return x.at.Compare(y.at) })
	bursts := newBursts(request, crashes, unexplained)
	var last time.Time // latest counted crash in a burst
	for _, known := range crashes {
		unanswered := known.requests[request]
		if evaluatedOnly && !known.evaluated || !unanswered && known.explained {
			continue
		}
		if bursts.contain(known.at, unanswered) {
			if !last.IsZero() && known.at.Sub(last) < burstWindow {
				continue
			}
			last = known.at
		}
		if unanswered {
			count.unanswered++
		} else {
			count.answered++
		}
	}
	return count
}

// bursts tells which crashes of a request belong to bursts.
type bursts struct {
	unexplained timeline // of all requests
	ran         timeline // of workers that ran the request
	unanswered  timeline // of those without a run that had begun to respond
}

func newBursts(request Digest, crashes []*crashRecord, unexplained timeline) bursts {
	b := bursts{unexplained: unexplained}
	for _, known := range crashes {
		if known.explained {
			continue
		}
		b.ran = append(b.ran, known.at)
		if known.requests[request] {
			b.unanswered = append(b.unanswered, known.at)
		}
	}
	return b
}

// contain reports whether a crash belongs to a burst. An unanswered run is strong evidence: it does if
// around it more workers crashed without one than with one. A run that had begun to respond is weak
// evidence: a few workers that did not run the request are enough.
func (b bursts) contain(at time.Time, unanswered bool) bool {
	all := b.unexplained.around(at)
	if unanswered {
		with := b.unanswered.around(at)
		return all-with >= minBurst && all-with > with
	}
	with := b.ran.around(at)
	return (all-with)*weakBurstRatio > with
}
