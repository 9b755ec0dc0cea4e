package guard

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/quarantine"
)

// ownerKey is the placement key of the owner: one store collects all crash reports.
const ownerKey = "quarantine"

// idleInterval is the time between scans for idle quarantined requests.
const idleInterval = time.Minute

// owner collects the reports of all processes at a store and publishes the requests that
// it quarantines.
type owner struct {
	guard *Guard
	epoch uint64

	mutex    sync.Mutex // guards all below
	detector *quarantine.Detector
	timer    *time.Timer // of the next evaluation
}

func newOwner(g *Guard) *owner {
	return &owner{guard: g, epoch: rand.Uint64(), detector: quarantine.New(quarantine.Settings{})}
}

// RegisterOwner registers the owner's handlers, which makes this process a possible owner.
func (g *Guard) RegisterOwner(mux *http.ServeMux) {
	g.owner = newOwner(g)
	mux.HandleFunc("POST "+PathReports, g.owner.serveReport)
	mux.HandleFunc("POST "+PathTrials, g.owner.serveTrial)
}

func (o *owner) serveReport(w http.ResponseWriter, r *http.Request) {
	var report Report
	if failure := transport.ReadJSON(w, r, "read report of ended workers", maxMessageBytes, &report); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if failure := report.check(); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, o.applyReport(clock.Now(), report))
}

// applyReport records a report and returns the response.
func (o *owner) applyReport(now time.Time, report Report) ReportResponse {
	o.mutex.Lock()
	for _, crash := range report.Crashes {
		o.detector.RecordCrash(now, crash.decode())
	}
	var released []quarantine.Digest
	for _, digest := range report.Survived {
		if o.detector.RecordSurvival(digest) {
			released = append(released, digest)
			o.guard.published.enqueue(digest, nil)
		}
	}
	response := ReportResponse{Epoch: o.epoch}
	for _, entry := range o.detector.Entries() {
		response.Quarantined = append(response.Quarantined, entry.Digest)
	}
	for _, suspect := range o.detector.NearThreshold() {
		if len(response.Suspects) < maxSuspects {
			response.Suspects = append(response.Suspects, Suspect{Digest: suspect.Digest, AgeMs: now.Sub(suspect.LastCrash).Milliseconds()})
		}
	}
	if len(report.Crashes) > 0 {
		o.scheduleEvaluation(0)
	}
	o.mutex.Unlock()
	for _, digest := range released {
		o.guard.log.WithFields(logrus.Fields{"event": "request_released", "digest": digest, "why": "a worker survived it", "peer": report.From}).Info("A request is released from quarantine.")
	}
	return response
}

// scheduleEvaluation schedules the next evaluation of crashes. The mutex must be held.
func (o *owner) scheduleEvaluation(after time.Duration) {
	if o.timer == nil {
		o.timer = time.AfterFunc(after, o.evaluate)
		return
	}
	o.timer.Reset(after)
}

func (o *owner) evaluate() {
	now := clock.Now()
	o.mutex.Lock()
	entries, next := o.detector.Evaluate(now)
	failed := o.detector.TakeFailedTrials()
	// In the order of the decisions: a later survival removes the record.
	for _, entry := range slices.Concat(entries, failed) {
		o.guard.published.enqueue(entry.Digest, recordOfEntry(entry))
	}
	if !next.IsZero() {
		o.scheduleEvaluation(next.Sub(now))
	}
	o.mutex.Unlock()
	for _, entry := range entries {
		o.guard.applyQuarantined(entry)
	}
	for _, entry := range failed {
		o.guard.log.WithFields(logrus.Fields{"event": "trial_failed", "digest": entry.Digest, "trials": entry.Trials}).Warn("The worker of a trial run crashed; the request stays quarantined.")
	}
}

func (o *owner) serveTrial(w http.ResponseWriter, r *http.Request) {
	var request TrialRequest
	if failure := transport.ReadJSON(w, r, "read question for a trial", maxMessageBytes, &request); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if !request.Digest.Valid() {
		transport.WriteError(w, api.NewError("read question for a trial", "", api.CodeBadRequest, api.OutcomeNotRun, "digest %q", request.Digest))
		return
	}
	transport.WriteJSON(w, http.StatusOK, o.grantTrial(clock.Now(), request))
}

// unknownWait is the time after which to ask again about a request that is unknown here: it
// was released, which all processes are about to learn, or another store quarantined it.
const unknownWait = time.Second

// grantTrial grants a trial run if one is due, and every run of a request that it has released but whose
// record is still published. It denies runs of unknown requests: a store that has not yet received the
// published record would grant one to every process.
func (o *owner) grantTrial(now time.Time, request TrialRequest) TrialResponse {
	published, removing := o.guard.published.state(request.Digest)
	if removing {
		return TrialResponse{Granted: true, Runs: quarantine.MaxDeferredRuns}
	}
	o.mutex.Lock()
	if published && !o.detector.IsQuarantined(request.Digest) {
		o.detector.Merge(now, request.Digest, 0) // evicted here
	}
	if !o.detector.IsQuarantined(request.Digest) {
		o.mutex.Unlock()
		return TrialResponse{WaitMs: unknownWait.Milliseconds()}
	}
	response := o.trial(now, request)
	o.mutex.Unlock()
	if response.Granted {
		o.guard.log.WithFields(logrus.Fields{"event": "request_tried", "digest": request.Digest, "peer": request.From, "runs": max(response.Runs, 1)}).Info("A trial run of a quarantined request is granted.")
	}
	return response
}

// trial asks the detector for a trial run. The mutex must be held.
func (o *owner) trial(now time.Time, request TrialRequest) TrialResponse {
	if request.Deferred {
		runs, wait := o.detector.DeferredTrial(now, request.Digest)
		return TrialResponse{Granted: runs > 0, Runs: runs, WaitMs: wait.Milliseconds()}
	}
	granted, wait := o.detector.Trial(now, request.Digest)
	return TrialResponse{Granted: granted, WaitMs: wait.Milliseconds()}
}

// publishedChanged applies a record that was published, updated or removed, by any process.
func (o *owner) publishedChanged(digest quarantine.Digest, exists bool, trials int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if exists {
		o.detector.Merge(clock.Now(), digest, trials)
		return
	}
	o.detector.Release(digest)
}

// expireIdle releases requests that have not arrived again within the idle timeout, until
// ctx is done.
func (o *owner) expireIdle(ctx context.Context) {
	for sleep.For(ctx, idleInterval) {
		if !o.isPrimary() {
			continue
		}
		o.mutex.Lock()
		unasked := o.detector.Idle(clock.Now())
		o.mutex.Unlock()
		for _, digest := range unasked {
			o.guard.log.WithFields(logrus.Fields{"event": "request_released", "digest": digest, "why": "it did not come again"}).Info("A request is released from quarantine.")
			o.guard.published.enqueue(digest, nil)
		}
	}
}

// isPrimary reports whether processes send their reports to this store first.
func (o *owner) isPrimary() bool {
	owners := placement.RankStores(ownerKey, o.guard.owners())
	return len(owners) > 0 && owners[0].ID == o.guard.self
}
