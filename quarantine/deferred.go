package quarantine

import "time"

// Deferred requests are those that were accepted to be run later, such as items of batch jobs. Unlike
// online requests they are owed: they are run again soon after any number of crashes. Their evidence
// is kept apart from that of online requests (Digest.Deferred).

// Deferred returns the digest that stands for deferred requests with what d identifies. Crashes under
// deferred requests hold no online request, and a deferred request that survives releases none.
func (d Digest) Deferred() Digest { return digestOf([]byte("deferred"), []byte(d)) }

// MaxDeferredRuns is the maximum number of runs that one DeferredTrial grants.
const MaxDeferredRuns = 8

// DeferredTrial grants runs of a quarantined deferred request, or of deferred requests that share a
// quarantined part. If it grants none, it returns how long to wait before asking again. The first run
// is granted once the delay of DeferredBackoff has passed since the last crash. While no worker crashes
// under these runs, their number may double each deferredRampInterval, up to MaxDeferredRuns more each
// time; a crash starts the delay anew. Requests that are not quarantined are not limited.
func (d *Detector) DeferredTrial(now time.Time, request Digest) (runs int, wait time.Duration) {
	entry := d.entries[request]
	if entry == nil {
		return MaxDeferredRuns, 0
	}
	entry.lastSeen = now
	due := entry.nextDeferred
	if entry.deferredRuns == 0 {
		due = entry.heldSince.Add(d.settings.DeferredBackoff[min(entry.Trials, len(d.settings.DeferredBackoff)-1)])
	}
	if wait := due.Sub(now); wait > 0 || d.settings.Fault == FaultNoTrial {
		return 0, max(wait, minDeferredWait)
	}
	if entry.trialAt.IsZero() {
		entry.trialAt = now
	}
	runs = min(max(entry.deferredRuns, 1), MaxDeferredRuns)
	entry.deferredRuns += runs
	entry.nextDeferred = now.Add(deferredRampInterval)
	return runs, 0
}

// holdDeferred starts the delay of deferred runs anew at a crash.
func (f *Entry) holdDeferred(at time.Time) {
	f.heldSince, f.deferredRuns = later(f.heldSince, at), 0
}
