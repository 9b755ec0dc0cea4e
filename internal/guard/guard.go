// Package guard distributes package quarantine over processes. Each process reports the
// workers that crashed with its requests in flight to one store, the owner, which publishes
// the quarantined requests through the key-value service. While no worker has crashed
// recently, successful requests cost nothing: nothing is stored, sent or hashed for them.
package guard

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

// Settings configure a Guard.
type Settings struct {
	Self    api.NodeID
	Owners  func() []api.Node        // stores that may be the owner
	Accepts func(worker string) bool // worker is listed and not shutting down
	// CurrentIncarnation returns the listed incarnation of a worker; nil if this process does not know.
	CurrentIncarnation func(worker string) (worker.Incarnation, bool)
	WatchDown          func() bool // updates of the key-value service can't be received
	KeyValue           kv.Service
	Prefix             string // of all keys of the key-value service
	Log                *logrus.Entry
	Registry           Registerer
	// OnTrialGranted is called when a trial run that was requested in the background is granted; may
	// be nil.
	OnTrialGranted func()
}

// Guard detects requests that crash workers and keeps them from further workers, in one
// process. It is safe for concurrent use.
type Guard struct {
	self      api.NodeID
	owners    func() []api.Node
	accepts   func(worker string) bool
	current   func(worker string) (worker.Incarnation, bool)
	watchDown func() bool
	// onTrialGranted may be nil
	onTrialGranted func()
	log            *logrus.Entry
	metrics        *metrics
	client         *http.Client
	published      *recordStore
	owner          *owner // nil unless this process is a store
	wake           chan struct{}
	active         atomic.Bool
	ctx            context.Context
	cancel         context.CancelFunc

	mutex             sync.Mutex // guards all below
	broken            map[worker.Incarnation]*brokenWorker
	survivals         map[quarantine.Digest]time.Time // last surviving runs, recorded while active
	survivalsPrunedAt time.Time                       // last removal of expired survivals
	detector          *quarantine.Detector            // evidence of this process only
	ownerEntries      map[quarantine.Digest]time.Time // expiry of the requests that the owner listed
	trials            map[quarantine.Digest]trialState
	grants            map[quarantine.Digest]grant
	outbox            outbox
	unresponsive      api.NodeID // the last owner that did not answer a report
}

// brokenWorker is a worker that broke off responses and is being probed.
type brokenWorker struct {
	worker   worker.Worker
	at       time.Time
	requests map[quarantine.Digest]bool // true if a run there had begun to respond
}

const (
	// ownerEntryTTL is how long a request that the owner listed is quarantined here without
	// a published record. Processes that can't reach the key-value service ask every
	// pollInterval.
	ownerEntryTTL      = 5 * time.Second
	connectionsPerHost = 2
	dialTimeout        = 100 * time.Millisecond
	connectionLifetime = 30 * time.Second
	silenceLimit       = time.Second
)

// New returns a Guard; its Run method must be running for it to send and publish reports.
func New(settings Settings) *Guard {
	g := &Guard{
		self: settings.Self, owners: settings.Owners, accepts: settings.Accepts, current: settings.CurrentIncarnation, watchDown: settings.WatchDown, onTrialGranted: settings.OnTrialGranted,
		log: settings.Log, metrics: newMetrics(settings.Registry), wake: make(chan struct{}, 1),
		client: transport.NewKeepAliveClient(transport.ClientOptions{
			ConnectionsPerHost: connectionsPerHost, DialTimeout: dialTimeout, IdleTimeout: connectionLifetime, KeepAliveTimeout: silenceLimit,
		}),
		broken: map[worker.Incarnation]*brokenWorker{}, survivals: map[quarantine.Digest]time.Time{}, detector: quarantine.New(quarantine.Settings{}),
		ownerEntries: map[quarantine.Digest]time.Time{}, trials: map[quarantine.Digest]trialState{}, grants: map[quarantine.Digest]grant{},
	}
	g.published = newRecordStore(settings.KeyValue, settings.Prefix, settings.Log, g.publishedChanged)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// View returns the receiver of published records, which the catalog must feed with the keys
// under Prefix.
func (g *Guard) View() catalog.View { return g.published }

// Run sends reports and publishes records until ctx is done. Handlers have to be registered
// before.
func (g *Guard) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	defer g.cancel()
	var running sync.WaitGroup
	running.Go(func() { g.published.run(ctx) })
	running.Go(func() { g.reportLoop(ctx) })
	if g.owner != nil {
		running.Go(func() { g.owner.expireIdle(ctx) })
	}
	running.Wait()
}

// Active reports whether any request is suspected or quarantined. While it is false,
// callers need not compute digests.
func (g *Guard) Active() bool { return g.active.Load() }

// updateActive recomputes whether the guard is active. The mutex must be held.
func (g *Guard) updateActive(now time.Time) {
	for digest, until := range g.ownerEntries {
		if !now.Before(until) {
			delete(g.ownerEntries, digest)
		}
	}
	held := max(g.published.count(), len(g.ownerEntries))
	g.metrics.quarantined.Set(float64(held))
	if !g.active.Load() {
		clear(g.survivals)
	}
	g.active.Store(held > 0 || len(g.broken) > 0 || !g.detector.Empty(now))
}

// RecordBrokenResponse records that a worker broke off the response to a request that may have begun to run
// there; answered reports whether any worker had begun to respond to the request before.
// The worker is probed in the background to find out whether it crashed.
func (g *Guard) RecordBrokenResponse(w worker.Worker, request quarantine.Digest, answered bool) {
	if !g.accepts(w.ID) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.broken[w.Incarnation()]
	if known == nil {
		known = &brokenWorker{worker: w, at: clock.Now(), requests: map[quarantine.Digest]bool{}}
		g.broken[w.Incarnation()] = known
		g.updateActive(known.at)
		go g.probe(known)
	}
	known.requests[request] = known.requests[request] || answered
}

// crash returns the crash of the worker with the requests that this process had there.
func (b *brokenWorker) crash(now time.Time) quarantine.Crash {
	crash := quarantine.Crash{Worker: b.worker.Incarnation().String(), Age: now.Sub(b.at)}
	for _, request := range slices.Sorted(maps.Keys(b.requests)) {
		switch {
		case len(crash.Unanswered)+len(crash.Answered) >= maxCrashRequests:
		case b.requests[request]:
			crash.Answered = append(crash.Answered, request)
		default:
			crash.Unanswered = append(crash.Unanswered, request)
		}
	}
	return crash
}

// probeInterval is the time between the two probes of a worker: one that has just crashed may still
// accept a connection.
const probeInterval = 200 * time.Millisecond

// probe finds out whether a worker that broke off responses has crashed, and queues a report
// if so.
func (g *Guard) probe(known *brokenWorker) {
	crashed := !transport.Listening(g.ctx, known.worker.Address)
	if !sleep.For(g.ctx, probeInterval) {
		return
	}
	crashed = crashed || !transport.Listening(g.ctx, known.worker.Address) || g.restarted(known.worker)
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.broken, known.worker.Incarnation())
	crash := known.crash(now)
	if crashed && len(known.requests) > 0 {
		g.detector.RecordCrash(now, crash)
		g.outbox.addCrash(now, crash)
		notify(g.wake)
	}
	g.updateActive(now)
	g.metrics.countProbe(crashed)
	entry := g.log.WithFields(logrus.Fields{
		"event": "worker_looked_at", "worker": known.worker.ID, "service": known.worker.Service, "ended": crashed,
		"digests": crash.Unanswered, "answered": crash.Answered, "age_ms": crash.Age.Milliseconds(),
	})
	if !crashed {
		entry.Info("A worker broke off responses but is still listening.")
		return
	}
	entry.Warn("A worker crashed with requests in flight.")
}

// restarted reports whether a later incarnation of the worker is listed: the probed one has
// crashed even if its successor listens at the same address.
func (g *Guard) restarted(w worker.Worker) bool {
	if g.current == nil {
		return false
	}
	current, ok := g.current(w.ID)
	return ok && current.Supersedes(w.Incarnation())
}

// RecordSurvival records that a run of a request completed with its worker still alive, which
// clears the request of all earlier crashes.
func (g *Guard) RecordSurvival(request quarantine.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, known := range g.broken {
		delete(known.requests, request)
	}
	g.rememberSurvival(clock.Now(), request)
	_, listed := g.ownerEntries[request]
	if !g.detector.IsSuspect(request) && !listed && !g.published.contains(request) {
		return
	}
	g.detector.RecordSurvival(request)
	delete(g.ownerEntries, request)
	g.outbox.addSurvival(request)
	notify(g.wake)
}

const (
	// survivalTTL is how long a surviving run is remembered while the guard is active. It is
	// longer than the time from a crash to the quarantine of its request.
	survivalTTL  = 5 * time.Second
	maxSurvivals = 2048
)

// rememberSurvival remembers a surviving run. The mutex must be held.
func (g *Guard) rememberSurvival(now time.Time, request quarantine.Digest) {
	if len(g.survivals) >= maxSurvivals && now.Sub(g.survivalsPrunedAt) >= survivalTTL {
		g.survivalsPrunedAt = now
		maps.DeleteFunc(g.survivals, func(_ quarantine.Digest, at time.Time) bool { return now.Sub(at) >= survivalTTL })
	}
	if _, known := g.survivals[request]; known || len(g.survivals) < maxSurvivals {
		g.survivals[request] = now
	}
}

// Quarantined returns the last of a request's digests that is quarantined. Callers pass the digest of
// the request first, then those of its parts in the order of the prompt: a part explains the crashes
// of all requests that have it, which must not get a trial run each, and of two parts the earlier
// one is more likely to be shared with requests that can clear it.
func (g *Guard) Quarantined(digests []quarantine.Digest) (quarantine.Digest, bool) {
	for _, digest := range slices.Backward(digests) {
		if g.IsQuarantined(digest) {
			return digest, true
		}
	}
	return "", false
}

// IsQuarantined reports whether a request is quarantined.
func (g *Guard) IsQuarantined(request quarantine.Digest) bool {
	if g.published.contains(request) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return clock.Now().Before(g.ownerEntries[request])
}

// publish publishes a request that this process has quarantined.
func (g *Guard) publish(entry quarantine.Entry) {
	g.published.enqueue(entry.Digest, recordOfEntry(entry))
	g.applyQuarantined(entry)
}

// applyQuarantined holds a request that this process has quarantined, ahead of its published record.
func (g *Guard) applyQuarantined(entry quarantine.Entry) {
	g.metrics.detected.Inc()
	g.log.WithFields(logrus.Fields{"event": "request_found", "digest": entry.Digest, "workers": entry.Workers}).
		Warn("A request crashes workers and is quarantined.")
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ownerEntries[entry.Digest] = now.Add(ownerEntryTTL)
	g.updateActive(now)
}

// publishedChanged handles a record that was published, updated or removed.
func (g *Guard) publishedChanged(digest quarantine.Digest, exists bool, trials int) {
	if g.owner != nil {
		g.owner.publishedChanged(digest, exists, trials)
	}
	entry := g.log.WithField("digest", digest)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if exists {
		entry.WithFields(logrus.Fields{"event": "request_quarantined", "trials": trials}).Info("A request is quarantined.")
	} else {
		entry.WithField("event", "request_let_go").Info("A request is no longer quarantined.")
		g.detector.Release(digest)
		delete(g.ownerEntries, digest)
		delete(g.trials, digest)
		delete(g.grants, digest)
	}
	g.updateActive(clock.Now())
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
