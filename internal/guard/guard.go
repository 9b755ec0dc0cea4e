// Package guard carries package quarantine between processes: each reports the workers
// that ended with requests of its own to one store, the owner, which publishes the
// requests that were found with the key-value service. Nothing is kept, told or computed
// for requests that go well while no worker has ended under requests lately.
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
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/quarantine"
	"github.com/dykewing/dykewing/worker"
)

// Settings of a Guard.
type Settings struct {
	Self    api.NodeID
	Owners  func() []api.Node        // stores that may gather reports
	Accepts func(worker string) bool // it is listed and does not leave; else it ends as planned
	// Current is the incarnation of a worker that is listed; nil: not known here.
	Current  func(worker string) (worker.Incarnation, bool)
	Blind    func() bool // what others publish can't be learned now
	KeyValue kv.Service
	Prefix   string // of the key-value service's keys
	Log      *logrus.Entry
	Registry Registerer
	// Granted is called when a request that was found may run once; may be nil.
	Granted func()
}

// Guard keeps requests under which workers ended from more workers, in one process. It
// may be used from anywhere.
type Guard struct {
	self      api.NodeID
	owners    func() []api.Node
	accepts   func(worker string) bool
	current   func(worker string) (worker.Incarnation, bool)
	blind     func() bool
	granted   func()
	log       *logrus.Entry
	metrics   *metrics
	client    *http.Client
	published *published
	owner     *owner // nil: this process is no store
	wake      chan struct{}
	watching  atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc

	mutex  sync.Mutex // guards all below
	broken map[worker.Incarnation]*broken
	well   map[quarantine.Digest]time.Time // runs that ended well, while Watching
	pruned time.Time                       // when the old ones of these were last dropped
	book   *quarantine.Book                // of this process's own reports
	told   map[quarantine.Digest]time.Time
	asks   map[quarantine.Digest]ask
	grants map[quarantine.Digest]bool
	out    outbox
	silent api.NodeID // the store that last did not answer a report
}

// broken is a worker at which answers broke off and that is being looked at.
type broken struct {
	worker   worker.Worker
	at       time.Time
	requests map[quarantine.Digest]bool // true: a run there had given a part of its answer
}

const (
	// toldLife is how long the owner's word counts without the key-value service's: a
	// process that can't reach the service hears it every followInterval.
	toldLife = 5 * time.Second
	// Connections to owners.
	connections        = 2
	dialTimeout        = 100 * time.Millisecond
	connectionLifetime = 30 * time.Second
	silenceLimit       = time.Second
)

// New gives a guard; Run it.
func New(settings Settings) *Guard {
	g := &Guard{
		self: settings.Self, owners: settings.Owners, accepts: settings.Accepts, current: settings.Current, blind: settings.Blind, granted: settings.Granted,
		log: settings.Log, metrics: newMetrics(settings.Registry), wake: make(chan struct{}, 1),
		client: transport.NewProbingClient(transport.Options{
			ConnectionsPerHost: connections, DialTimeout: dialTimeout, IdleLifetime: connectionLifetime, SilenceLimit: silenceLimit,
		}),
		broken: map[worker.Incarnation]*broken{}, well: map[quarantine.Digest]time.Time{}, book: quarantine.New(quarantine.Settings{}),
		told: map[quarantine.Digest]time.Time{}, asks: map[quarantine.Digest]ask{}, grants: map[quarantine.Digest]bool{},
	}
	g.published = newPublished(settings.KeyValue, settings.Prefix, settings.Log, g.publishedChanged)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// View takes what is published; it is for the prefix Prefix.
func (g *Guard) View() catalog.View { return g.published }

// Run reports until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	defer g.cancel()
	var running sync.WaitGroup
	running.Go(func() { g.published.run(ctx) })
	running.Go(func() { g.tellAll(ctx) })
	if g.owner != nil {
		running.Go(func() { g.owner.forgetUnasked(ctx) })
	}
	running.Wait()
}

// Watching tells whether any request is suspected or was found: else there is no need to
// know what makes a request the same.
func (g *Guard) Watching() bool { return g.watching.Load() }

// watch brings Watching up to date; the mutex is held.
func (g *Guard) watch(now time.Time) {
	for digest, until := range g.told {
		if !now.Before(until) {
			delete(g.told, digest)
		}
	}
	held := max(g.published.count(), len(g.told))
	g.metrics.held.Set(float64(held))
	if !g.watching.Load() {
		clear(g.well)
	}
	g.watching.Store(held > 0 || len(g.broken) > 0 || !g.book.Empty(now))
}

// Broke notes that the answer to a request broke off at a worker after the request may
// have begun to run there; answered: a part of an answer to it had come before, from
// whatever worker. Whether the worker ended is found out in the background.
func (g *Guard) Broke(w worker.Worker, request quarantine.Digest, answered bool) {
	if !g.accepts(w.ID) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.broken[w.Incarnation()]
	if known == nil {
		known = &broken{worker: w, at: clock.Now(), requests: map[quarantine.Digest]bool{}}
		g.broken[w.Incarnation()] = known
		g.watch(known.at)
		go g.look(known)
	}
	known.requests[request] = known.requests[request] || answered
}

// loss is the worker's end with the requests that this process had there.
func (b *broken) loss(now time.Time) quarantine.Loss {
	loss := quarantine.Loss{Worker: b.worker.Incarnation().String(), Age: now.Sub(b.at)}
	for _, request := range slices.Sorted(maps.Keys(b.requests)) {
		switch {
		case len(loss.Requests)+len(loss.Answered) >= maximumRequests:
		case b.requests[request]:
			loss.Answered = append(loss.Answered, request)
		default:
			loss.Requests = append(loss.Requests, request)
		}
	}
	return loss
}

// look finds out whether a worker at which answers broke off has ended, and reports it.
func (g *Guard) look(known *broken) {
	ended := !listening(g.ctx, known.worker.Address)
	if !pause.For(g.ctx, lookPause) {
		return
	}
	ended = ended || !listening(g.ctx, known.worker.Address) || g.restarted(known.worker)
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.broken, known.worker.Incarnation())
	loss := known.loss(now)
	if ended && len(known.requests) > 0 {
		g.book.Lost(now, loss)
		g.out.lose(now, loss)
		signal(g.wake)
	}
	g.watch(now)
	g.metrics.count(ended)
	entry := g.log.WithFields(logrus.Fields{
		"event": "worker_looked_at", "worker": known.worker.ID, "service": known.worker.Service, "ended": ended,
		"digests": loss.Requests, "answered": loss.Answered, "age_ms": loss.Age.Milliseconds(),
	})
	if !ended {
		entry.Info("Answers broke off at a worker that is still there.")
		return
	}
	entry.Warn("A worker ended under requests.")
}

// restarted tells whether a later start of a worker is known: it has ended, though its next
// start listens at the same address.
func (g *Guard) restarted(w worker.Worker) bool {
	if g.current == nil {
		return false
	}
	current, ok := g.current(w.ID)
	return ok && current.Succeeds(w.Incarnation())
}

// Survived notes that a run of a request came to an end with its worker still there: what
// ended under it before was ended by something else.
func (g *Guard) Survived(request quarantine.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, known := range g.broken {
		delete(known.requests, request)
	}
	g.noteWell(clock.Now(), request)
	_, told := g.told[request]
	if !g.book.Suspects(request) && !told && !g.published.holds(request) {
		return
	}
	g.book.Survived(request)
	delete(g.told, request)
	g.out.survive(request)
	signal(g.wake)
}

const (
	// wellLife is for how long a run that went well is remembered while Watching: over the
	// time until its request would be found.
	wellLife = 5 * time.Second
	mostWell = 2048
)

// noteWell remembers a run that went well; the mutex is held.
func (g *Guard) noteWell(now time.Time, request quarantine.Digest) {
	if len(g.well) >= mostWell && now.Sub(g.pruned) >= wellLife {
		g.pruned = now
		maps.DeleteFunc(g.well, func(_ quarantine.Digest, at time.Time) bool { return now.Sub(at) >= wellLife })
	}
	if _, known := g.well[request]; known || len(g.well) < mostWell {
		g.well[request] = now
	}
}

// Holds tells whether a request was found: workers end under it.
func (g *Guard) Holds(request quarantine.Digest) bool {
	if g.published.holds(request) {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return clock.Now().Before(g.told[request])
}

// publish makes a finding of this process known to all.
func (g *Guard) publish(finding quarantine.Finding) {
	g.metrics.found.Inc()
	g.log.WithFields(logrus.Fields{"event": "request_found", "digest": finding.Digest, "workers": finding.Workers}).
		Warn("Workers end under a request; it is not sent to more of them.")
	g.published.want(finding.Digest, &record{Workers: finding.Workers, Trials: finding.Trials})
	now := clock.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.told[finding.Digest] = now.Add(toldLife)
	g.watch(now)
}

// publishedChanged takes what came to stand with the key-value service, or went.
func (g *Guard) publishedChanged(digest quarantine.Digest, found bool, trials int) {
	if g.owner != nil {
		g.owner.publishedChanged(digest, found, trials)
	}
	entry := g.log.WithField("digest", digest)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if found {
		entry.WithFields(logrus.Fields{"event": "request_quarantined", "trials": trials}).Info("A request is not sent to workers from now on.")
	} else {
		entry.WithField("event", "request_let_go").Info("A request is sent to workers from now on.")
		g.book.Release(digest)
		delete(g.told, digest)
		delete(g.asks, digest)
		delete(g.grants, digest)
	}
	g.watch(clock.Now())
}

// signal sets a channel that holds one signal.
func signal(set chan<- struct{}) {
	select {
	case set <- struct{}{}:
	default:
	}
}
