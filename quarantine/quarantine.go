// Package quarantine finds requests under which workers end, so that they are not sent
// to more of them.
//
// Processes report, for each worker that ended, the requests that they had there. One of
// these may have ended it, the others only shared it. A Book tells them apart: a request
// is found once Ends workers have ended under it, and no run of it came to an end that its
// worker survived. An end under a run that had given a part of its answer says less, and
// nothing where a request that was found explains it: requests end workers mostly as they
// begin. In a simulated fleet where half of the
// requests are popular and workers end, 2 to 9 of 20 requests were refused without the
// second condition, none with it. It has no input, output or clock: time is passed in.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Book is what one process knows. It is not safe for concurrent use.
type Book struct {
	settings Settings
	losses   map[string]*loss           // by worker
	ends     map[Digest]map[string]bool // workers of losses, by request; true: no run had answered
	found    map[Digest]*Finding
}

// loss is a worker that ended.
type loss struct {
	at       time.Time       // when it was first told
	requests map[Digest]bool // true: no run of it there had given a part of its answer
	settled  bool            // the reports of other processes are there
}

// Finding is a request that is not sent to workers.
type Finding struct {
	Digest  Digest
	Workers []string // that ended under it, sorted
	Trials  int      // runs that it was let go for since

	nextTrial time.Time
	asked     time.Time // when it last came again
}

// New gives an empty book.
func New(settings Settings) *Book {
	return &Book{settings: settings.withDefaults(), losses: map[string]*loss{}, ends: map[Digest]map[string]bool{}, found: map[Digest]*Finding{}}
}

// Loss is a worker that ended, as one process saw it.
type Loss struct {
	Worker   string
	Age      time.Duration // since then
	Requests []Digest      // of which no run there had given a part of its answer
	Answered []Digest      // of which one had
}

// Lost notes that a worker ended under requests of one process.
func (b *Book) Lost(now time.Time, told Loss) {
	b.expire(now)
	if told.Age >= b.settings.Life {
		return
	}
	known := b.losses[told.Worker]
	if known == nil {
		known = &loss{at: now.Add(-max(told.Age, 0)), requests: map[Digest]bool{}}
		b.losses[told.Worker] = known
	}
	for _, request := range told.Requests {
		b.add(now, told.Worker, request, true)
	}
	for _, request := range told.Answered {
		b.add(now, told.Worker, request, false)
	}
	known.settled = false
	b.makeRoom()
}

// add notes a request of an ended worker; silent: no run of it had answered, as far as the
// process knows that tells it.
func (b *Book) add(now time.Time, worker string, request Digest, silent bool) {
	known := b.losses[worker]
	before, again := known.requests[request]
	if !again && len(known.requests) >= b.settings.Requests && b.settings.Fault != FaultUnbounded {
		return
	}
	if b.ends[request] == nil {
		b.ends[request] = map[string]bool{}
	}
	silent = silent && (before || !again)
	known.requests[request], b.ends[request][worker] = silent, silent
	if again {
		return
	}
	finding := b.found[request]
	if finding == nil {
		return
	}
	finding.Workers = insert(finding.Workers, worker)
	finding.nextTrial = later(finding.nextTrial, now.Add(b.pause(finding)))
}

func insert(sorted []string, worker string) []string {
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

// Survived notes that a run of a request came to an end and its worker is still there:
// what ended under it before was ended by something else. It tells whether the request
// was found, and is let go now.
func (b *Book) Survived(request Digest) (released bool) {
	if b.settings.Fault == FaultIgnoreSurvivals {
		return false
	}
	return b.Release(request)
}

// Release forgets all that speaks against a request, and tells whether it was found.
func (b *Book) Release(request Digest) (released bool) {
	for worker := range b.ends[request] {
		delete(b.losses[worker].requests, request)
	}
	delete(b.ends, request)
	_, released = b.found[request]
	delete(b.found, request)
	return released
}

// Settle finds the requests that fit the ends told so far. Call it again at the time it
// gives; zero when nothing waits.
func (b *Book) Settle(now time.Time) (found []Finding, next time.Time) {
	b.expire(now)
	fits := map[Digest]bool{}
	for _, known := range b.losses {
		if known.settled {
			continue
		}
		if due := known.at.Add(b.settings.Settle); due.After(now) {
			if next.IsZero() || due.Before(next) {
				next = due
			}
			continue
		}
		known.settled = true
		maps.Copy(fits, known.requests)
	}
	requests := slices.Sorted(maps.Keys(fits))
	// Those with the better evidence come first: they explain ends of the others.
	for _, fit := range []func(ends) bool{b.enoughSilent, b.enough} {
		for _, request := range requests {
			if b.found[request] == nil && fit(b.count(request, true)) {
				found = append(found, b.find(now, request))
			}
		}
	}
	return found, next
}

// ends counts the ends of workers under a request.
type ends struct {
	silent int // no run of it there had given a part of its answer
	others int // one had, and nothing that was found explains the end
}

// count counts a request's ends. With settled, those of which reports may still come don't
// count.
func (b *Book) count(request Digest, settled bool) (count ends) {
	for worker, silent := range b.ends[request] {
		known := b.losses[worker]
		switch {
		case settled && !known.settled:
		case silent:
			count.silent++
		case !b.explained(known):
			count.others++
		}
	}
	return count
}

// explained tells whether a request that was found had a silent end there.
func (b *Book) explained(known *loss) bool {
	for request, silent := range known.requests {
		if silent && b.found[request] != nil {
			return true
		}
	}
	return false
}

func (b *Book) enoughSilent(count ends) bool { return count.silent >= b.settings.Ends }

func (b *Book) enough(count ends) bool {
	return b.enoughSilent(count) || count.silent+count.others >= b.settings.Ends+moreAnswered
}

// find keeps a finding.
func (b *Book) find(now time.Time, request Digest) Finding {
	finding := &Finding{Digest: request, Workers: slices.Sorted(maps.Keys(b.ends[request])), asked: now}
	finding.nextTrial = now.Add(b.pause(finding))
	b.found[request] = finding
	b.makeRoom()
	return finding.copy()
}

// copy is the finding as it stands. The book goes on adding workers to its own, in place,
// while another goroutine may be writing what it was given.
func (f *Finding) copy() Finding {
	given := *f
	given.Workers = slices.Clone(f.Workers)
	return given
}

// pause is how long a finding is not tried.
func (b *Book) pause(finding *Finding) time.Duration {
	return b.settings.Trials[min(finding.Trials, len(b.settings.Trials)-1)]
}

// Adopt takes a finding that another process made, with the trials since then: what others
// granted is not granted here once more.
func (b *Book) Adopt(now time.Time, request Digest, trials int) {
	if known := b.found[request]; known != nil {
		if trials > known.Trials {
			known.Trials = trials
			known.nextTrial = later(known.nextTrial, now.Add(b.pause(known)))
		}
		return
	}
	finding := &Finding{Digest: request, Trials: trials, asked: now}
	finding.nextTrial = now.Add(b.pause(finding))
	b.found[request] = finding
	b.makeRoom()
}

// Holds tells whether a request was found.
func (b *Book) Holds(request Digest) bool { return b.found[request] != nil }

// Suspect is a request that one more end would show to end workers.
type Suspect struct {
	Digest Digest
	Last   time.Time // its newest end
}

// AlmostFound lists, by digest, the requests that one more end would show to end workers,
// and those of which reports may still come: who has seen one of them go well since its
// newest end can say so before it is found.
func (b *Book) AlmostFound() []Suspect {
	var list []Suspect
	for request, workers := range b.ends {
		count := b.count(request, false)
		count.silent++
		if b.found[request] != nil || !b.enough(count) {
			continue
		}
		suspect := Suspect{Digest: request}
		for worker := range workers {
			suspect.Last = later(suspect.Last, b.losses[worker].at)
		}
		list = append(list, suspect)
	}
	slices.SortFunc(list, func(x, y Suspect) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// Suspects tells whether anything speaks against a request.
func (b *Book) Suspects(request Digest) bool {
	return len(b.ends[request]) > 0 || b.found[request] != nil
}

// Empty tells whether nothing is kept that still counts.
func (b *Book) Empty(now time.Time) bool {
	b.expire(now)
	return len(b.losses) == 0 && len(b.found) == 0
}

// Trial lets a request that was found run once when its time has come, else it tells when
// to ask again. What was not found may run.
func (b *Book) Trial(now time.Time, request Digest) (granted bool, wait time.Duration) {
	finding := b.found[request]
	if finding == nil {
		return true, 0
	}
	finding.asked = now
	if wait := finding.nextTrial.Sub(now); wait > 0 || b.settings.Fault == FaultNoTrial {
		return false, max(wait, time.Second)
	}
	finding.Trials++
	finding.nextTrial = now.Add(b.pause(finding))
	return true, 0
}

// Findings lists what was found, sorted by digest.
func (b *Book) Findings() []Finding {
	list := make([]Finding, 0, len(b.found))
	for _, finding := range b.found {
		list = append(list, finding.copy())
	}
	slices.SortFunc(list, func(x, y Finding) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// Unasked lists requests that were found and have not come again for long, sorted.
func (b *Book) Unasked(now time.Time) []Digest {
	var list []Digest
	for request, finding := range b.found {
		if now.Sub(finding.asked) >= b.settings.Unasked {
			list = append(list, request)
		}
	}
	slices.Sort(list)
	return list
}

// expire forgets ends that are too old to count.
func (b *Book) expire(now time.Time) {
	for worker, known := range b.losses {
		if now.Sub(known.at) >= b.settings.Life {
			b.forget(worker)
		}
	}
}

// makeRoom forgets what is over the bounds: the oldest ends, and the findings that came
// again the longest ago.
func (b *Book) makeRoom() {
	if b.settings.Fault == FaultUnbounded {
		return
	}
	for len(b.losses) > b.settings.Losses {
		b.forget(oldest(b.losses, func(known *loss) time.Time { return known.at }))
	}
	for len(b.found) > b.settings.Findings {
		b.Release(oldest(b.found, func(finding *Finding) time.Time { return finding.asked }))
	}
}

// oldest is the entry with the earliest time; of several, the one with the least key.
func oldest[K cmp.Ordered, V any](entries map[K]V, at func(V) time.Time) K {
	return slices.MinFunc(slices.Collect(maps.Keys(entries)), func(x, y K) int {
		return cmp.Or(at(entries[x]).Compare(at(entries[y])), cmp.Compare(x, y))
	})
}

func (b *Book) forget(worker string) {
	for request := range b.losses[worker].requests {
		delete(b.ends[request], worker)
		if len(b.ends[request]) == 0 {
			delete(b.ends, request)
		}
	}
	delete(b.losses, worker)
}
