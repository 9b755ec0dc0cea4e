package guard

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quarantine"
)

const (
	// reportInterval is the time between checks for reports to send.
	reportInterval = time.Second
	// pollInterval is the time between polls of the owner while published records can't be
	// received: half of the time within which all processes have to know them.
	pollInterval = 2 * time.Second
	// reportTimeout covers several round trips between regions.
	reportTimeout = 300 * time.Millisecond
	// maxOwnersTried is the number of stores tried in turn for one report.
	maxOwnersTried = 3
	// maxStoredCrashes is the number of crashes kept for up to crashTTL, to be reported again to a
	// new owner.
	maxStoredCrashes = 256
	crashTTL         = 10 * time.Minute
	// recentCrash is the time after a crash within which immediate retries of its requests
	// are expected.
	recentCrash = 30 * time.Second
	// freshCrash is the time after a crash within which the owner evaluates it. It is polled
	// every freshPollInterval, several times within its report window, so that surviving runs
	// of suspects are reported in time. Its response also arrives before published records.
	freshCrash        = 3 * time.Second
	freshPollInterval = 300 * time.Millisecond
)

// outbox holds the crashes and survivals that a process reports to the owner. It is guarded
// by the mutex of its Guard.
type outbox struct {
	crashes      []outboxCrash // oldest first; acknowledged ones are kept for a new owner
	survivals    []quarantine.Digest
	owner        api.NodeID // last reported to
	epoch        uint64     // of the owner's last response
	acknowledged int        // number of leading crashes that the owner has acknowledged
	respondedAt  time.Time  // time of the owner's last response
}

// outboxCrash is the crash of a worker with requests of this process in flight.
type outboxCrash struct {
	quarantine.Crash
	at time.Time
}

func (o *outbox) addCrash(now time.Time, crash quarantine.Crash) {
	o.crashes = append(o.crashes, outboxCrash{Crash: crash, at: now.Add(-crash.Age)})
	o.dropOldest(len(o.crashes) - maxStoredCrashes)
}

// age returns the age of the newest crash, and the longest duration if there is none.
func (o *outbox) age(now time.Time) time.Duration {
	if len(o.crashes) == 0 {
		return math.MaxInt64
	}
	return now.Sub(o.crashes[len(o.crashes)-1].at)
}

// dropOldest removes the count oldest crashes.
func (o *outbox) dropOldest(count int) {
	if count > 0 {
		o.crashes = slices.Delete(o.crashes, 0, count)
		o.acknowledged = max(o.acknowledged-count, 0)
	}
}

// addSurvival records a surviving run of a request and clears it of earlier crashes.
func (o *outbox) addSurvival(request quarantine.Digest) {
	same := func(d quarantine.Digest) bool { return d == request }
	for i := range o.crashes {
		o.crashes[i].Unanswered = slices.DeleteFunc(slices.Clone(o.crashes[i].Unanswered), same)
		o.crashes[i].Answered = slices.DeleteFunc(slices.Clone(o.crashes[i].Answered), same)
	}
	if !slices.Contains(o.survivals, request) && len(o.survivals) < maxReportSurvivals {
		o.survivals = append(o.survivals, request)
	}
}

// report returns the crashes and survivals that the owner has not acknowledged.
func (o *outbox) report(now time.Time, self, owner api.NodeID) (report Report) {
	old := slices.IndexFunc(o.crashes, func(crash outboxCrash) bool { return now.Sub(crash.at) < crashTTL })
	if old < 0 {
		old = len(o.crashes)
	}
	o.dropOldest(old)
	if o.owner != owner {
		o.owner, o.acknowledged, o.respondedAt = owner, 0, time.Time{}
	}
	report = Report{From: self, Survived: slices.Clone(o.survivals)}
	for _, crash := range o.crashes[o.acknowledged:min(o.acknowledged+maxReportCrashes, len(o.crashes))] {
		report.Crashes = append(report.Crashes, Crash{Worker: crash.Worker, AgeMs: now.Sub(crash.at).Milliseconds(), Unanswered: crash.Unanswered, Answered: crash.Answered})
	}
	return report
}

// acknowledge records that the owner has received a report. A new epoch means that the owner
// has restarted and lost all earlier reports, which are then sent again.
func (o *outbox) acknowledge(now time.Time, epoch uint64, report Report) {
	o.respondedAt = now
	if o.epoch != epoch && o.acknowledged > 0 {
		o.epoch, o.acknowledged = epoch, 0
		return
	}
	o.epoch = epoch
	o.acknowledged += len(report.Crashes)
	o.survivals = slices.DeleteFunc(o.survivals, func(d quarantine.Digest) bool { return slices.Contains(report.Survived, d) })
}

// reportLoop reports to the owner until ctx is done.
func (g *Guard) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(g.nextReportIn(clock.Now()))
		select {
		case <-g.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if g.reportDue(clock.Now()) && ctx.Err() == nil {
			g.reportToOwner(ctx)
		}
	}
}

// nextReportIn returns the time until the next report unless there is news.
func (g *Guard) nextReportIn(now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.outbox.age(now) < freshCrash {
		return freshPollInterval
	}
	return reportInterval
}

// reportDue reports whether the owner has to be called.
func (g *Guard) reportDue(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.active.Load() {
		g.updateActive(now)
	}
	return len(g.outbox.crashes) > 0 || len(g.outbox.survivals) > 0 || g.pollDue(now)
}

// pollDue reports whether the owner has to be polled even without news: while published
// records can't be received, and while crashes are so recent that they would have to be
// reported again to a restarted owner. The mutex must be held.
func (g *Guard) pollDue(now time.Time) bool {
	since := now.Sub(g.outbox.respondedAt)
	switch age := g.outbox.age(now); {
	case age < freshCrash:
		return since >= freshPollInterval
	case age < recentCrash || g.watchDown():
		return since >= pollInterval
	}
	return false
}

// reportToOwner reports to the owner, or to the next stores in placement order if it does
// not answer. If none answers, this process decides by its own evidence.
func (g *Guard) reportToOwner(ctx context.Context) {
	owners := placement.RankStores(ownerKey, g.owners())
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		if ctx.Err() != nil || g.reportTo(ctx, owner) {
			return
		}
	}
	g.mutex.Lock()
	entries, _ := g.detector.Evaluate(clock.Now())
	g.mutex.Unlock()
	for _, entry := range entries {
		g.publish(entry)
	}
}

// reportTo sends reports to one store until it has acknowledged everything, and reports
// whether it answered.
func (g *Guard) reportTo(ctx context.Context, owner api.Node) bool {
	for {
		now := clock.Now()
		g.mutex.Lock()
		report := g.outbox.report(now, g.self, owner.ID)
		acknowledged := len(report.Crashes) == 0 && len(report.Survived) == 0 && !g.pollDue(now)
		g.mutex.Unlock()
		if acknowledged {
			return true
		}
		response, err := g.sendReport(ctx, owner, report)
		g.trackOwner(owner, report, err)
		if err != nil {
			return false
		}
		g.applyResponse(report, response)
	}
}

func (g *Guard) sendReport(ctx context.Context, owner api.Node, report Report) (response ReportResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err = transport.Call(ctx, g.client, "report ended workers", owner.Address, PathReports, report, &response)
	return response, err
}

// trackOwner logs when a store stops answering, and when it answers again.
func (g *Guard) trackOwner(owner api.Node, report Report, err error) {
	g.mutex.Lock()
	before := g.unresponsive == owner.ID
	switch {
	case err != nil:
		g.metrics.unanswered.Inc()
		g.unresponsive = owner.ID
	case before:
		g.unresponsive = ""
	}
	g.mutex.Unlock()
	entry := g.log.WithFields(logrus.Fields{"peer": owner.ID, "losses": len(report.Crashes), "survived": len(report.Survived)})
	if err != nil && !before {
		entry.WithField("event", "quarantine_owner_silent").WithError(err).Warn("The store that collects crash reports did not answer; the next one is tried.")
	}
	if err == nil && before {
		entry.WithField("event", "quarantine_owner_answers").Info("The store that collects crash reports answers again.")
	}
}

// applyResponse handles the owner's response to a report.
func (g *Guard) applyResponse(report Report, response ReportResponse) {
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.outbox.acknowledge(now, response.Epoch, report)
	for _, digest := range response.Quarantined {
		g.ownerEntries[digest] = now.Add(ownerEntryTTL)
	}
	for _, suspect := range response.Suspects {
		crashedAt := now.Add(-time.Duration(suspect.AgeMs) * time.Millisecond)
		if at, ok := g.survivals[suspect.Digest]; ok && at.After(crashedAt) {
			g.detector.RecordSurvival(suspect.Digest)
			g.outbox.addSurvival(suspect.Digest)
		}
	}
	g.updateActive(now)
}
