// Package catalog maintains a process's view of the current configuration and the list of
// workers by watching a key-value service. The last known state stays in force while the
// service is unavailable, and a configuration is never replaced by an older one.
package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

const (
	// Bounds of the mean backoff after failed calls, doubled on each failure. The maximum is
	// short compared to the time within which a recovery of the service must be noticed.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// Source describes where the configuration and the workers are stored and how to decode them.
type Source struct {
	ConfigurationPrefix string
	WorkerPrefix        string
	// EvacuationPrefix is the prefix of the keys that mark zones whose workers must not receive
	// requests; empty: not supported.
	EvacuationPrefix    string
	DecodeConfiguration func(raw []byte) (*route.Configuration, error)
	DecodeWorker        func(key string, raw []byte) (worker.Worker, error)
}

// Listener is notified of changes, in order. Its methods must not block.
type Listener interface {
	ConfigurationChanged(configuration *route.Configuration)
	WorkersChanged(changes []Change)
}

// Catalog watches a key-value service. Create it with New, then call Run. Methods are safe for
// concurrent use, except those that must be called before Run.
type Catalog struct {
	source   Source
	service  kv.Service
	log      *logrus.Entry
	listener Listener
	metrics  metrics

	views         []prefixView
	disconnected  bool // the last call failed; used only by follow
	outages       outageTracker
	callStarted   time.Time // earliest start of the pending call; used only by follow
	configuration atomic.Pointer[route.Configuration]
	raw           atomic.Pointer[[]byte] // of the configuration in force
	changedAt     atomic.Pointer[time.Time]
	lastContact   atomic.Pointer[time.Time] // last answer of the service; nil before the first
	lastFullRead  atomic.Pointer[time.Time] // nil before the first
	startedAt     time.Time
	restart       chan struct{} // holds one signal: the pending call is to be restarted
	adoptMutex    sync.Mutex
}

// New returns a catalog that notifies listener.
func New(source Source, service kv.Service, log *logrus.Entry, listener Listener) *Catalog {
	c := &Catalog{source: source, service: service, log: log, listener: listener}
	c.startedAt, c.restart = clock.Now(), make(chan struct{}, 1)
	c.metrics = newMetrics(c.ContactAge)
	c.AddView(source.ConfigurationPrefix, &configurationView{catalog: c})
	c.AddView(source.WorkerPrefix, &workerView{catalog: c, revisions: map[string]int64{}, startTimes: map[string]time.Time{}, retained: map[string]bool{}})
	return c
}

// SetMaxStaleness sets the maximum time between two answers of a working watch, which is used to
// detect outages in which calls hang; 0: unknown. Call it before Run.
func (c *Catalog) SetMaxStaleness(limit time.Duration) { c.outages.maxStaleness = limit }

// Configuration returns the configuration in force; nil before the first.
func (c *Catalog) Configuration() *route.Configuration { return c.configuration.Load() }

// Raw returns the encoded document of the configuration in force; nil before the first.
func (c *Catalog) Raw() []byte {
	if raw := c.raw.Load(); raw != nil {
		return *raw
	}
	return nil
}

// RestartWatch restarts the pending call immediately. Call it after the machine was suspended, when
// the call may wait on a dead connection whose timeout did not advance meanwhile.
func (c *Catalog) RestartWatch() {
	select {
	case c.restart <- struct{}{}:
	default:
	}
}

// ConfigurationAge returns the time since the configuration came into force here, or since New before the
// first.
func (c *Catalog) ConfigurationAge() time.Duration {
	if at := c.changedAt.Load(); at != nil {
		return clock.Since(*at)
	}
	return clock.Since(c.startedAt)
}

// OutOfContact reports whether the service has been silent for longer than a working watch can
// be, so that changes may have been missed. It is false if no maximum was set.
func (c *Catalog) OutOfContact() bool {
	at := c.lastContact.Load()
	return c.outages.maxStaleness > 0 && (at == nil || clock.Since(*at) > c.outages.maxStaleness+silenceMargin)
}

// ContactAge returns the time since the last answer of the service, or since New before the
// first. The known state may be that old.
func (c *Catalog) ContactAge() time.Duration {
	at := c.lastContact.Load()
	if at == nil {
		return clock.Since(c.startedAt)
	}
	return clock.Since(*at)
}

// HistoryAge returns for how long every change of the state has been received, in time or late: the time since
// the last full read, or 0 before the first.
func (c *Catalog) HistoryAge() time.Duration {
	at := c.lastFullRead.Load()
	if at == nil {
		return 0
	}
	return clock.Since(*at)
}

// Metrics returns the collectors to register.
func (c *Catalog) Metrics() []prometheus.Collector { return c.metrics.all() }

// Run watches the service until ctx ends.
func (c *Catalog) Run(ctx context.Context) { c.follow(ctx) }

// View receives the full state of a prefix and then its changes, in order.
type View interface {
	Reset(result kv.RangeResult)
	Apply(batch kv.Batch)
}

// AddView adds a view of another prefix. Call it before Run.
func (c *Catalog) AddView(prefix string, view View) {
	c.views = append(c.views, prefixView{prefix: prefix, view: view})
}

// follow keeps all views current until ctx ends. It reads and watches all keys of the service
// with one watch: missed changes then show in its revision, whatever their prefix.
func (c *Catalog) follow(ctx context.Context) {
	delay, fullRead, revision := minRetryDelay, true, int64(0)
	for ctx.Err() == nil {
		restarted, err := c.runRestartable(ctx, func(ctx context.Context) error {
			return c.readAndWatch(ctx, &fullRead, &revision, func() { delay = minRetryDelay })
		})
		if ctx.Err() != nil {
			return
		}
		if restarted {
			continue
		}
		if errors.Is(err, kv.ErrCompacted) {
			fullRead, delay = true, minRetryDelay // the service has answered
		}
		c.contactLost(err)
		sleep.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// runRestartable runs call until it fails or a restart is requested, and reports which.
func (c *Catalog) runRestartable(ctx context.Context, call func(context.Context) error) (restarted bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan error, 1)
	go func() { ended <- call(ctx) }()
	select {
	case err := <-ended:
		return false, err
	case <-c.restart:
		cancel(errRestarted)
		<-ended
		return true, errRestarted
	}
}

// errRestarted is the cause with which a restarted call is cancelled.
var errRestarted = errors.New("watch restarted")

// readAndWatch reads the full state if *fullRead is set, and then watches until an error.
func (c *Catalog) readAndWatch(ctx context.Context, fullRead *bool, revision *int64, answered func()) error {
	c.callStarted = clock.Now()
	if *fullRead {
		result, err := c.service.Range(ctx, "")
		if err != nil {
			return err
		}
		answered()
		c.contactMade()
		c.metrics.fullReads.Inc()
		for _, each := range c.views {
			each.view.Reset(each.filterState(result))
		}
		*fullRead, *revision = false, result.Revision
		now := clock.Now()
		c.lastFullRead.Store(&now)
	}
	return c.service.Watch(ctx, "", *revision, func(batch kv.Batch) {
		answered()
		c.contactMade()
		for _, each := range c.views {
			if part := each.filterBatch(batch); len(part.Events) > 0 {
				each.view.Apply(part)
			}
		}
		*revision = max(*revision, batch.Revision)
	})
}

// prefixView is a view with the prefix of its keys.
type prefixView struct {
	prefix string
	view   View
}

func (p prefixView) filterState(result kv.RangeResult) kv.RangeResult {
	part := kv.RangeResult{Revision: result.Revision}
	for _, pair := range result.Pairs {
		if strings.HasPrefix(pair.Key, p.prefix) {
			part.Pairs = append(part.Pairs, pair)
		}
	}
	return part
}

func (p prefixView) filterBatch(batch kv.Batch) kv.Batch {
	part := kv.Batch{Revision: batch.Revision}
	for _, event := range batch.Events {
		if strings.HasPrefix(event.Pair.Key, p.prefix) {
			part.Events = append(part.Events, event)
		}
	}
	return part
}

// contactLost records why a watch ended. Like contactMade it is called only by follow.
func (c *Catalog) contactLost(err error) {
	if errors.Is(err, kv.ErrCompacted) {
		c.log.WithField("event", "history_gone").WithError(err).Info("Key-value service compacted its history; reading the full state.")
		return
	}
	if !errors.Is(err, kv.ErrRateLimited) { // a rate-limited service is available and keeps its entries
		c.outages.recordFailure(c.callStarted, clock.Now())
	}
	if !c.disconnected {
		c.disconnected = true
		c.log.WithField("event", "dependency_lost").WithError(err).Warn("Key-value service unavailable; the last known state stays in force.")
	}
}

func (c *Catalog) contactMade() {
	now := clock.Now()
	c.callStarted = now
	if c.outages.recordAnswer(now) {
		c.metrics.outages.Inc()
	}
	c.lastContact.Store(&now)
	if c.disconnected {
		c.disconnected = false
		c.log.WithFields(logrus.Fields{"event": "dependency_regained", "away_ms": c.outages.lastDuration.Milliseconds()}).Info("Key-value service available again.")
	}
}
