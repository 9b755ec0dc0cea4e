// Package quarantine detects requests that crash workers, so that they are not sent to
// more of them.
//
// Processes report, for each crashed worker, the requests that they had in flight there.
// One of these may have caused the crash; the others only shared the worker. A request is
// quarantined once a threshold of workers has crashed while running it and no run of it has
// completed in between with its worker still alive. Without the second condition, 2 to 9 of
// 20 healthy requests were quarantined in a simulated fleet where half of the requests are
// popular and workers crash. Requests mostly crash a worker before
// they respond, so a crash during a run that had begun to respond is weaker evidence, and
// none where a quarantined request explains the crash.
//
// The package does no I/O and reads no clock: callers pass the time in.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Detector collects crash reports and keeps the quarantined requests of one process. It is not
// safe for concurrent use.
type Detector struct {
	settings         Settings
	crashes          map[string]*crashRecord    // by worker
	crashesByRequest map[Digest]map[string]bool // by request and worker; true if no run had begun to respond
	entries          map[Digest]*Entry
}

// crash is the crash of one worker.
type crashRecord struct {
	at        time.Time       // as first reported
	requests  map[Digest]bool // true if no run there had begun to respond
	evaluated bool            // the report window has passed
	explained bool            // as unexplainedCrashes last found
}

// Entry is a quarantined request.
type Entry struct {
	Digest  Digest
	Workers []string // crashed while running it, sorted
	Trials  int      // trial runs whose worker crashed

	nextTrial   time.Time
	lastSeen    time.Time    // last arrival
	trialAt     time.Time    // grant of the trial run that has no outcome yet; zero for none
	unresolved  int          // consecutive trial runs without an outcome
	failed      *crashRecord // crash of the last trial run's worker, until it is evaluated
	retryAt     time.Time    // next trial unless that crash is the request's fault
	trialFailed bool         // TakeFailedTrials has not returned it since

	heldSince    time.Time // start of the quarantine or, if later, its last crash
	nextDeferred time.Time // next grant of deferred runs, if some were granted since then
	deferredRuns int       // deferred runs granted since then
}

func New(settings Settings) *Detector {
	return &Detector{settings: settings.withDefaults(), crashes: map[string]*crashRecord{}, crashesByRequest: map[Digest]map[string]bool{}, entries: map[Digest]*Entry{}}
}

// Crash is the crash of a worker as reported by one process.
type Crash struct {
	Worker     string
	Age        time.Duration // time since the crash
	Unanswered []Digest      // in flight, without any run that had begun to respond
	Answered   []Digest      // in flight, with a run that had begun to respond
}

// RecordCrash records the crash of a worker with requests of one process in flight. Reports of the
// same worker by several processes are merged.
func (d *Detector) RecordCrash(now time.Time, report Crash) {
	d.expire(now)
	if report.Age >= d.settings.CrashTTL {
		return
	}
	known := d.crashes[report.Worker]
	if known == nil {
		known = &crashRecord{at: now.Add(-max(report.Age, 0)), requests: map[Digest]bool{}}
		d.crashes[report.Worker] = known
	}
	for _, request := range report.Unanswered {
		d.add(now, report.Worker, request, true)
	}
	for _, request := range report.Answered {
		d.add(now, report.Worker, request, false)
	}
	known.evaluated = false
	d.enforceLimits()
}

// add records a request in flight on a crashed worker; unanswered reports whether none of
// the reporting process's runs had begun to respond.
func (d *Detector) add(now time.Time, worker string, request Digest, unanswered bool) {
	known := d.crashes[worker]
	before, again := known.requests[request]
	if !again && len(known.requests) >= d.settings.MaxRequests && d.settings.Fault != FaultUnbounded {
		return
	}
	if d.crashesByRequest[request] == nil {
		d.crashesByRequest[request] = map[string]bool{}
	}
	unanswered = unanswered && (before || !again)
	known.requests[request], d.crashesByRequest[request][worker] = unanswered, unanswered
	if again {
		return
	}
	entry := d.entries[request]
	if entry == nil {
		return
	}
	entry.Workers = insertSorted(entry.Workers, worker)
	if !entry.trialAt.IsZero() && !known.at.Before(entry.trialAt) {
		entry.trialAt, entry.failed, entry.retryAt = time.Time{}, known, entry.nextTrial
		entry.Trials++
	}
	entry.nextTrial = later(entry.nextTrial, now.Add(d.trialDelay(entry)))
	entry.holdDeferred(known.at)
}

func insertSorted(sorted []string, worker string) []string {
	at, found := slices.BinarySearch(sorted, worker)
	if found {
		return sorted
	}
	return slices.Insert(sorted, at, worker)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordSurvival records that a run of a request completed with its worker still alive, which
// clears the request of all earlier crashes. It reports whether the request was quarantined
// and is released by this.
func (d *Detector) RecordSurvival(request Digest) (released bool) {
	if d.settings.Fault == FaultIgnoreSurvivals {
		return false
	}
	return d.Release(request)
}

// Release removes a request from quarantine together with all evidence against it, and
// reports whether it was quarantined.
func (d *Detector) Release(request Digest) (released bool) {
	for worker := range d.crashesByRequest[request] {
		delete(d.crashes[worker].requests, request)
	}
	delete(d.crashesByRequest, request)
	_, released = d.entries[request]
	delete(d.entries, request)
	return released
}

// Evaluate evaluates the crashes whose report window has passed and returns the requests that
// it quarantines. It should be called again at next, which is zero when no crash is waiting.
func (d *Detector) Evaluate(now time.Time) (quarantined []Entry, next time.Time) {
	d.expire(now)
	candidates := map[Digest]bool{}
	for _, known := range d.crashes {
		if known.evaluated {
			continue
		}
		if due := known.at.Add(d.settings.ReportWindow); due.After(now) {
			if next.IsZero() || due.Before(next) {
				next = due
			}
			continue
		}
		known.evaluated = true
		maps.Copy(candidates, known.requests)
	}
	d.judgeTrials()
	requests := slices.Sorted(maps.Keys(candidates))
	// Strong evidence goes first, since such requests explain crashes of the others.
	for _, meets := range []func(evidence) bool{d.strong, d.sufficient} {
		unexplained := d.unexplainedCrashes()
		for _, request := range requests {
			if d.entries[request] == nil && meets(d.count(request, unexplained, true)) {
				quarantined = append(quarantined, d.quarantine(now, request))
				unexplained = d.unexplainedCrashes()
			}
		}
	}
	return quarantined, next
}

func (d *Detector) strong(count evidence) bool { return count.unanswered >= d.settings.CrashThreshold }

func (d *Detector) sufficient(count evidence) bool {
	return d.strong(count) || count.unanswered+count.answered >= d.settings.CrashThreshold+answeredExtraCrashes
}

// quarantine adds a request to the quarantined ones.
func (d *Detector) quarantine(now time.Time, request Digest) Entry {
	entry := &Entry{Digest: request, Workers: slices.Sorted(maps.Keys(d.crashesByRequest[request])), lastSeen: now, heldSince: now}
	entry.nextTrial = now.Add(d.trialDelay(entry))
	d.entries[request] = entry
	d.enforceLimits()
	return entry.copy()
}

// judgeTrials decides on trial runs whose worker crashed, once its crash is evaluated. It does not show
// that the request is at fault in a burst, or if another quarantined request explains it.
func (d *Detector) judgeTrials() {
	unexplained := d.unexplainedCrashes()
	for request, entry := range d.entries {
		if entry.failed == nil || !entry.failed.evaluated {
			continue
		}
		others := unexplained.around(entry.failed.at)
		if !entry.failed.explained {
			others--
		}
		if others >= minBurst || d.explainedByOther(request, entry.failed) {
			entry.Trials--
			entry.nextTrial = entry.retryAt
		} else {
			entry.trialFailed, entry.unresolved = true, 0
		}
		entry.failed = nil
	}
}

// copy returns a deep copy for callers: later crashes are inserted into the original's list
// of workers in place.
func (f *Entry) copy() Entry {
	clone := *f
	clone.Workers = slices.Clone(f.Workers)
	return clone
}

// trialDelay returns the delay before the next trial run, by the number of those that failed.
func (d *Detector) trialDelay(entry *Entry) time.Duration {
	return d.settings.TrialBackoff[min(entry.Trials, len(d.settings.TrialBackoff)-1)]
}

// Merge merges a quarantined request that another process published, with the number of
// trial runs that failed: one that failed elsewhere delays the next one here.
func (d *Detector) Merge(now time.Time, request Digest, trials int) {
	if known := d.entries[request]; known != nil {
		if trials > known.Trials {
			known.Trials = trials
			known.nextTrial = later(known.nextTrial, now.Add(d.trialDelay(known)))
			known.holdDeferred(now)
		}
		return
	}
	entry := &Entry{Digest: request, Trials: trials, lastSeen: now, heldSince: now}
	entry.nextTrial = now.Add(d.trialDelay(entry))
	d.entries[request] = entry
	d.enforceLimits()
}

// IsQuarantined reports whether a request is quarantined.
func (d *Detector) IsQuarantined(request Digest) bool { return d.entries[request] != nil }

// Suspect is a request that one more crash would quarantine.
type Suspect struct {
	Digest    Digest
	LastCrash time.Time // its latest crash
}

// NearThreshold lists the requests that one more crash would quarantine, or that will be
// quarantined once the report window of a crash has passed, sorted by digest. Processes that
// saw a run survive since the latest crash can report it before that.
func (d *Detector) NearThreshold() []Suspect {
	var list []Suspect
	unexplained := d.unexplainedCrashes()
	for request, workers := range d.crashesByRequest {
		count := d.count(request, unexplained, false)
		count.unanswered++
		if d.entries[request] != nil || !d.sufficient(count) {
			continue
		}
		suspect := Suspect{Digest: request}
		for worker := range workers {
			suspect.LastCrash = later(suspect.LastCrash, d.crashes[worker].at)
		}
		list = append(list, suspect)
	}
	slices.SortFunc(list, func(x, y Suspect) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// IsSuspect reports whether there is any evidence against a request.
func (d *Detector) IsSuspect(request Digest) bool {
	return len(d.crashesByRequest[request]) > 0 || d.entries[request] != nil
}

// Empty reports whether there is no unexpired crash and no quarantined request.
func (d *Detector) Empty(now time.Time) bool {
	d.expire(now)
	return len(d.crashes) == 0 && len(d.entries) == 0
}

// Trial grants one run of a quarantined request for TrialLease if its next trial is due, else it
// returns how long to wait before asking again. The run may get lost with its process, never start or
// be cut: if neither a crash nor a survival is recorded, another one is due after the lease, and after
// twice as long each time. A request that is not quarantined is always granted.
func (d *Detector) Trial(now time.Time, request Digest) (granted bool, wait time.Duration) {
	entry := d.entries[request]
	if entry == nil {
		return true, 0
	}
	entry.lastSeen = now
	if wait := entry.nextTrial.Sub(now); wait > 0 || d.settings.Fault == FaultNoTrial {
		return false, max(wait, time.Second)
	}
	entry.trialAt = now
	entry.nextTrial = now.Add(TrialLease << min(entry.unresolved, maxLeaseDoublings))
	entry.unresolved++
	return true, 0
}

// TakeFailedTrials returns the quarantined requests with a trial run whose worker crashed, sorted by
// digest, each once for a crash.
func (d *Detector) TakeFailedTrials() []Entry {
	var list []Entry
	for _, entry := range d.entries {
		if entry.trialFailed {
			entry.trialFailed = false
			list = append(list, entry.copy())
		}
	}
	slices.SortFunc(list, func(x, y Entry) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// Entries lists the quarantined requests, sorted by digest.
func (d *Detector) Entries() []Entry {
	list := make([]Entry, 0, len(d.entries))
	for _, entry := range d.entries {
		list = append(list, entry.copy())
	}
	slices.SortFunc(list, func(x, y Entry) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// Idle lists the quarantined requests that have not arrived again within the idle timeout,
// sorted.
func (d *Detector) Idle(now time.Time) []Digest {
	var list []Digest
	for request, entry := range d.entries {
		if now.Sub(entry.lastSeen) >= d.settings.IdleTimeout {
			list = append(list, request)
		}
	}
	slices.Sort(list)
	return list
}

// expire removes crashes that are too old to count.
func (d *Detector) expire(now time.Time) {
	for worker, known := range d.crashes {
		if now.Sub(known.at) >= d.settings.CrashTTL {
			d.removeCrash(worker)
		}
	}
}

// enforceLimits evicts the oldest crashes and the least recently seen quarantined requests
// above the limits.
func (d *Detector) enforceLimits() {
	if d.settings.Fault == FaultUnbounded {
		return
	}
	for len(d.crashes) > d.settings.MaxCrashes {
		d.removeCrash(oldest(d.crashes, func(known *crashRecord) time.Time { return known.at }))
	}
	for len(d.entries) > d.settings.MaxEntries {
		d.Release(oldest(d.entries, func(entry *Entry) time.Time { return entry.lastSeen }))
	}
}

// oldest returns the key with the earliest time, and the smallest of several.
func oldest[K cmp.Ordered, V any](entries map[K]V, at func(V) time.Time) K {
	return slices.MinFunc(slices.Collect(maps.Keys(entries)), func(x, y K) int {
		return cmp.Or(at(entries[x]).Compare(at(entries[y])), cmp.Compare(x, y))
	})
}

func (d *Detector) removeCrash(worker string) {
	for request := range d.crashes[worker].requests {
		delete(d.crashesByRequest[request], worker)
		if len(d.crashesByRequest[request]) == 0 {
			delete(d.crashesByRequest, request)
		}
	}
	delete(d.crashes, worker)
}
