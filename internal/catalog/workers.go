package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/worker"
)

// Change is one change of the list of workers.
type Change struct {
	ID     string
	Worker worker.Worker
	Gone   bool
	reason reason
}

// reason is why the list of workers changed.
type reason string

// The reasons.
const (
	entryWritten   reason = "entry_written"
	entryRemoved   reason = "entry_removed"    // a change says that it went
	entryNotListed reason = "entry_not_listed" // a whole state that was read lacks it
	entryNotBack   reason = "entry_not_back"   // it was kept after an outage, in vain
	entryRefused   reason = "entry_refused"    // what stands there now names no worker
)

// workerView keeps the list of workers: their entries, and those that an outage may have
// removed.
type workerView struct {
	catalog *Catalog

	mutex     sync.Mutex           // guards all below
	revisions map[string]int64     // of the keys that are there
	starts    map[string]time.Time // of the workers that are there and tell it, by key
	lapsed    map[string]bool      // keys that went just after an outage, still in force
	expiry    *time.Timer          // of lapsed; nil without one
	refusals  refusals
}

// Whole brings the list to a state that was read; what is not in it is gone.
func (v *workerView) Whole(result kv.RangeResult) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var changes []Change
	found := map[string]bool{}
	for _, pair := range result.Pairs {
		found[pair.Key] = true
		changes = v.put(changes, pair)
	}
	for key := range v.revisions {
		if !found[key] {
			changes = v.remove(changes, key, entryNotListed)
		}
	}
	v.tell(changes)
}

// Changes takes workers that came, changed or went.
func (v *workerView) Changes(batch kv.Batch) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var changes []Change
	for _, event := range batch.Events {
		if event.Deleted {
			if event.Pair.Revision >= v.revisions[event.Pair.Key] {
				changes = v.remove(changes, event.Pair.Key, entryRemoved)
			}
			continue
		}
		changes = v.put(changes, event.Pair)
	}
	v.tell(changes)
}

func (v *workerView) put(changes []Change, pair kv.Pair) []Change {
	if pair.Revision <= v.revisions[pair.Key] {
		return changes
	}
	decoded, err := v.catalog.source.DecodeWorker(pair.Key, pair.Value)
	if err != nil {
		return v.refuse(changes, pair, err)
	}
	v.revisions[pair.Key] = pair.Revision
	if decoded.Born.Before(v.starts[pair.Key]) && !decoded.Born.IsZero() {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_outdated", "worker": decoded.ID, "born": decoded.Born, "known_born": v.starts[pair.Key], "revision": pair.Revision,
		}).Info("A word of a worker's earlier start changes nothing.")
		return changes
	}
	if !decoded.Born.IsZero() {
		v.starts[pair.Key] = decoded.Born
	}
	delete(v.lapsed, pair.Key)
	return append(changes, Change{ID: decoded.ID, Worker: decoded, reason: entryWritten})
}

// refuse takes an entry that names no worker: one that stood there before is gone.
func (v *workerView) refuse(changes []Change, pair kv.Pair, err error) []Change {
	v.catalog.metrics.refused.Inc()
	if untold, due := v.refusals.tell(clock.Now()); due {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_refused", "worker": v.id(pair.Key), "revision": pair.Revision, "bytes": len(pair.Value), "untold": untold,
		}).WithError(err).Error("A worker's entry could not be read; it names no worker.")
	}
	if _, there := v.revisions[pair.Key]; there {
		changes = v.remove(changes, pair.Key, entryRefused)
	}
	v.revisions[pair.Key] = pair.Revision // what is older says nothing
	return changes
}

// refusalInterval is between two lines on entries that were refused: a writer gone wrong
// writes many.
const refusalInterval = time.Second

// refusals bounds the lines on entries that were refused.
type refusals struct {
	toldAt time.Time
	untold int
}

// tell says whether a line is due, and how many were left out since the last one.
func (r *refusals) tell(now time.Time) (untold int, due bool) {
	if !r.toldAt.IsZero() && now.Sub(r.toldAt) < refusalInterval {
		r.untold++
		return 0, false
	}
	untold, r.toldAt, r.untold = r.untold, now, 0
	return untold, true
}

// remove takes an entry out; just after an outage it stays in force for a while,
// since its worker may only have been unable to renew it.
func (v *workerView) remove(changes []Change, key string, why reason) []Change {
	delete(v.revisions, key)
	delete(v.starts, key)
	if kept := v.catalog.outages.keeps(clock.Now()); kept > 0 {
		v.lapse(key, kept, why)
		return changes
	}
	return append(changes, v.gone(key, why))
}

// lapse keeps an entry in force for a time; the mutex is held.
func (v *workerView) lapse(key string, kept time.Duration, why reason) {
	v.lapsed[key] = true
	v.catalog.metrics.lapsed.Inc()
	v.catalog.log.WithFields(logrus.Fields{
		"event": "worker_lapsed", "worker": v.id(key), "reason": why, "kept_ms": kept.Milliseconds(),
		"away_ms": v.catalog.outages.away.Milliseconds(), "blocked_ms": clock.Since(v.catalog.outages.blockedAt).Milliseconds(),
	}).Info("A worker's entry went while the service was away; it may come back.")
	if v.expiry == nil {
		v.expiry = time.AfterFunc(kept, v.expire)
	}
}

// expire takes out what has not come back.
func (v *workerView) expire() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.expiry = nil
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(v.lapsed)) {
		changes = append(changes, v.gone(key, entryNotBack))
	}
	clear(v.lapsed)
	v.tell(changes)
}

func (v *workerView) id(key string) string {
	return strings.TrimPrefix(key, v.catalog.source.WorkerPrefix)
}

func (v *workerView) gone(key string, why reason) Change {
	return Change{ID: v.id(key), Gone: true, reason: why}
}

func (v *workerView) tell(changes []Change) {
	if len(changes) == 0 {
		return
	}
	v.catalog.metrics.changes.Add(float64(len(changes)))
	v.log(changes)
	v.catalog.listener.WorkersChanged(changes)
}

// Lines on changes of workers that come together.
const (
	// mostLines on single workers; more changes are counted in one line.
	// A fleet that starts wrote a line for each worker at each process.
	mostLines = 8
	// mostNamed workers of a line on many.
	mostNamed = 16
)

// log tells of changes: each of a few, many together.
func (v *workerView) log(changes []Change) {
	if len(changes) > mostLines {
		v.logMany(changes)
		return
	}
	for _, change := range changes {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_changed", "worker": change.ID, "service": change.Worker.Service, "address": change.Worker.Address,
			"leaving": change.Worker.Leaving, "gone": change.Gone, "reason": change.reason,
		}).Info("The list of workers changed.")
	}
}

// logMany names first the workers that are to get nothing more: it is of these that one
// asks when a request went where it should not.
func (v *workerView) logMany(changes []Change) {
	reasons := map[reason]int{}
	var leaving, gone, named []string
	for _, change := range changes {
		reasons[change.reason]++
		switch {
		case change.Gone:
			gone = append(gone, change.ID)
		case change.Worker.Leaving:
			leaving = append(leaving, change.ID)
		case len(named) < mostNamed:
			named = append(named, change.ID)
		}
	}
	v.catalog.log.WithFields(logrus.Fields{
		"event": "workers_changed", "workers": len(changes), "reasons": reasons, "listed": len(v.revisions),
		"leaving": len(leaving), "gone": len(gone), "first_leaving": leaving[:min(len(leaving), mostNamed)],
		"first_gone": gone[:min(len(gone), mostNamed)], "first_others": named,
	}).Info("The list of workers changed in many places.")
}
