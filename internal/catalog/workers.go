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
	ID      string
	Worker  worker.Worker // zero for a removal
	Removed bool
	reason  reason
}

// reason is the cause of a change, for the log.
type reason string

const (
	entryWritten     reason = "entry_written"
	entryRemoved     reason = "entry_removed"    // deleted by a change
	entryNotListed   reason = "entry_not_listed" // missing in a full read
	entryNotRestored reason = "entry_not_back"   // retained after an outage and not renewed
	entryRejected    reason = "entry_refused"    // overwritten by an invalid entry
)

// workerView maintains the list of workers: their entries, and those that an outage may have
// removed.
type workerView struct {
	catalog *Catalog

	mutex        sync.Mutex           // guards all below
	revisions    map[string]int64     // of the present entries, by key
	startTimes   map[string]time.Time // of present workers that report it, by key
	retained     map[string]bool      // removed after an outage and still in force, by key
	expiry       *time.Timer          // of retained; nil without one
	rejectionLog logLimiter
}

// Reset replaces the list; entries that are not in the state are removed.
func (v *workerView) Reset(result kv.RangeResult) {
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
	v.publish(changes)
}

// Apply applies written and deleted entries.
func (v *workerView) Apply(batch kv.Batch) {
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
	v.publish(changes)
}

func (v *workerView) put(changes []Change, pair kv.Pair) []Change {
	if pair.Revision <= v.revisions[pair.Key] {
		return changes
	}
	decoded, err := v.catalog.source.DecodeWorker(pair.Key, pair.Value)
	if err != nil {
		return v.reject(changes, pair, err)
	}
	v.revisions[pair.Key] = pair.Revision
	if decoded.StartedAt.Before(v.startTimes[pair.Key]) && !decoded.StartedAt.IsZero() {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_outdated", "worker": decoded.ID, "born": decoded.StartedAt, "known_born": v.startTimes[pair.Key], "revision": pair.Revision,
		}).Info("Ignored an entry from an earlier start of a worker.")
		return changes
	}
	if !decoded.StartedAt.IsZero() {
		v.startTimes[pair.Key] = decoded.StartedAt
	}
	delete(v.retained, pair.Key)
	return append(changes, Change{ID: decoded.ID, Worker: decoded, reason: entryWritten})
}

// reject handles an invalid entry, which removes the one it has overwritten.
func (v *workerView) reject(changes []Change, pair kv.Pair, err error) []Change {
	v.catalog.metrics.rejected.Inc()
	if suppressed, ok := v.rejectionLog.allow(clock.Now()); ok {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_refused", "worker": v.id(pair.Key), "revision": pair.Revision, "bytes": len(pair.Value), "untold": suppressed,
		}).WithError(err).Error("Rejected a worker's entry that could not be decoded.")
	}
	if _, present := v.revisions[pair.Key]; present {
		changes = v.remove(changes, pair.Key, entryRejected)
	}
	v.revisions[pair.Key] = pair.Revision // ignore older entries
	return changes
}

// rejectionLogInterval is the minimum interval between log lines on rejected entries.
const rejectionLogInterval = time.Second

// logLimiter bounds the rate of log lines on rejected entries. The zero value allows the first.
type logLimiter struct {
	lastLogged time.Time
	suppressed int
}

// allow reports whether a line may be logged now, and how many were suppressed since the last
// one.
func (r *logLimiter) allow(now time.Time) (suppressed int, ok bool) {
	if !r.lastLogged.IsZero() && now.Sub(r.lastLogged) < rejectionLogInterval {
		r.suppressed++
		return 0, false
	}
	suppressed, r.lastLogged, r.suppressed = r.suppressed, now, 0
	return suppressed, true
}

// remove removes an entry. Just after an outage it is retained for a while, since its worker
// may only have been unable to renew it.
func (v *workerView) remove(changes []Change, key string, why reason) []Change {
	delete(v.revisions, key)
	delete(v.startTimes, key)
	if retention := v.catalog.outages.retention(clock.Now()); retention > 0 {
		v.retain(key, retention, why)
		return changes
	}
	return append(changes, v.removal(key, why))
}

// retain keeps a removed entry in force for a time; the mutex must be held.
func (v *workerView) retain(key string, retention time.Duration, why reason) {
	v.retained[key] = true
	v.catalog.metrics.retained.Inc()
	v.catalog.log.WithFields(logrus.Fields{
		"event": "worker_lapsed", "worker": v.id(key), "reason": why, "kept_ms": retention.Milliseconds(),
		"away_ms": v.catalog.outages.lastDuration.Milliseconds(), "blocked_ms": clock.Since(v.catalog.outages.lastBlockedCall).Milliseconds(),
	}).Info("Retaining a worker whose entry was removed around an outage.")
	if v.expiry == nil {
		v.expiry = time.AfterFunc(retention, v.expire)
	}
}

// expire removes the retained entries that have not been renewed.
func (v *workerView) expire() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.expiry = nil
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(v.retained)) {
		changes = append(changes, v.removal(key, entryNotRestored))
	}
	clear(v.retained)
	v.publish(changes)
}

func (v *workerView) id(key string) string {
	return strings.TrimPrefix(key, v.catalog.source.WorkerPrefix)
}

func (v *workerView) removal(key string, why reason) Change {
	return Change{ID: v.id(key), Removed: true, reason: why}
}

func (v *workerView) publish(changes []Change) {
	if len(changes) == 0 {
		return
	}
	v.catalog.metrics.changes.Add(float64(len(changes)))
	v.log(changes)
	v.catalog.listener.WorkersChanged(changes)
}

const (
	// maxChangeLines is the number of changes up to which each has its own log line; more are
	// summarized in one.
	maxChangeLines = 8
	// maxNamedWorkers is the number of workers named per list of a summary.
	maxNamedWorkers = 16
)

// log logs a few changes one by one and many in a summary.
func (v *workerView) log(changes []Change) {
	if len(changes) > maxChangeLines {
		v.logSummary(changes)
		return
	}
	for _, change := range changes {
		v.catalog.log.WithFields(logrus.Fields{
			"event": "worker_changed", "worker": change.ID, "service": change.Worker.Service, "address": change.Worker.Address,
			"leaving": change.Worker.Draining, "gone": change.Removed, "reason": change.reason,
		}).Info("Worker list changed.")
	}
}

// logSummary names leaving and removed workers separately: they matter when a request was sent
// to a worker that should not have received it.
func (v *workerView) logSummary(changes []Change) {
	reasons := map[reason]int{}
	var leaving, removed, others []string
	for _, change := range changes {
		reasons[change.reason]++
		switch {
		case change.Removed:
			removed = append(removed, change.ID)
		case change.Worker.Draining:
			leaving = append(leaving, change.ID)
		case len(others) < maxNamedWorkers:
			others = append(others, change.ID)
		}
	}
	v.catalog.log.WithFields(logrus.Fields{
		"event": "workers_changed", "workers": len(changes), "reasons": reasons, "listed": len(v.revisions),
		"leaving": len(leaving), "gone": len(removed), "first_leaving": leaving[:min(len(leaving), maxNamedWorkers)],
		"first_gone": removed[:min(len(removed), maxNamedWorkers)], "first_others": others,
	}).Info("Many workers changed.")
}
