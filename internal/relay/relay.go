// Package relay distributes the state of the platform's key-value service and its changes
// to all processes of a fleet with few calls to the service. It queries the source that
// package feed selects, and serves other processes from what this process has received
// from the service itself.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathChanges is the HTTP path under which a process serves state and changes to its zone.
const PathChanges = "/internal/changes"

// Query parameters of PathChanges.
const (
	parameterAfter = "after"   // a revision; absent: the full state is requested
	parameterWait  = "wait_ms" // maximum time until the answer while there is no change, or no full state
	// parameterWatcher, of any value, marks a query for the full state by a watcher.
	parameterWatcher = "watcher"
)

const (
	// peerTimeoutMargin is added to the wait of a query to a peer, for the network and the
	// peer's processing.
	peerTimeoutMargin = 300 * time.Millisecond
	// fullReadHeaderTimeout bounds the time until a peer starts to send its full state, which
	// it may have to encode first.
	fullReadHeaderTimeout = time.Second
	// stallTimeout bounds the time between two reads of a response.
	stallTimeout = time.Second
	// A process that polls for itself only delays the poll after a change, so that a burst
	// of changes takes few calls. The delay doubles from minBatchDelay to maxBatchDelay
	// while each poll returns changes.
	minBatchDelay = 400 * time.Millisecond
	maxBatchDelay = time.Second
	// peerConnections per peer: one for queries and one for full reads.
	peerConnections  = 2
	peerDialTimeout  = 300 * time.Millisecond
	peerIdleLifetime = 30 * time.Second
)

// Service is a key-value service that supports single polls and reads of single pages.
type Service interface {
	kv.Service
	// Poll returns the changes of all keys after a revision, or an empty batch if there are
	// none within wait.
	Poll(ctx context.Context, prefix string, revision int64, wait time.Duration) (kv.Batch, error)
	// RangePage reads the pairs of a prefix in one call, in order of keys, from the first one
	// after a key; empty: from the first one.
	RangePage(ctx context.Context, prefix, after string) (kv.Page, error)
}

// Relay is a Service whose watches and reads of all keys are shared among the processes of a
// fleet; all other calls go to the service. Range and Watch of all keys must not run
// concurrently with each other. ServeChanges, Withdraw and Metrics are safe for concurrent
// use.
type Relay struct {
	Service
	settings  feed.Settings
	log       *logrus.Entry
	members   func() []feed.Member
	client    *http.Client
	mirror    *mirror
	responses responseCache
	// ZoneKnown reports whether this process knows the other members of its zone; nil: always.
	ZoneKnown func() bool
	// RevisionKey is the key that is read to learn the service's revision when its watches are
	// silent; empty: no such read.
	RevisionKey string
	// RemoteMembers returns the candidates for watchers in other zones, one list per zone; nil: none
	// are known.
	RemoteMembers func() [][]feed.Member
	queries       *prometheus.CounterVec
	// watcherQueries is the number of pending queries of watchers for the full state.
	watcherQueries atomic.Int64

	// The fields below are used only by Range and Watch of all keys, one at a time.
	chooser      *feed.Chooser
	lastSource   string               // of the last answer
	zoneAwaited  bool                 // awaitZone has run
	failedReads  int                  // of the full state, in a row
	reader       *stateReader         // of the pending read of the full state from the service; nil: none
	peerProgress map[api.NodeID]int64 // of peers at their last answer that was no full state
}

// New returns a relay in front of service. members returns the processes of the zone that
// can be queried, including this one.
func New(service Service, settings feed.Settings, members func() []feed.Member, log *logrus.Entry) *Relay {
	return &Relay{
		Service: service, settings: settings, log: log, members: members, mirror: newMirror(), chooser: feed.New(settings),
		client: transport.NewKeepAliveClient(transport.ClientOptions{
			ConnectionsPerHost: peerConnections, DialTimeout: peerDialTimeout, IdleTimeout: peerIdleLifetime, KeepAliveTimeout: settings.MaxStaleness, AcceptGzip: true,
		}),
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_feed_questions_total", Help: "Questions for changes of the key-value service, by whom they went to and how they ended.",
		}, []string{"source", "outcome"}),
		peerProgress: map[api.NodeID]int64{},
	}
}

// Metrics returns the collector to register.
func (r *Relay) Metrics() prometheus.Collector { return r.queries }

// Withdraw makes other processes query elsewhere; call it when a planned shutdown begins.
func (r *Relay) Withdraw() { r.mirror.withdraw() }

// Watch delivers the changes of all keys after a revision. It returns when the service
// itself fails or changes were missed (kv.ErrCompacted); failures of peers lead to queries
// of other sources.
func (r *Relay) Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Batch)) error {
	if prefix != "" {
		return r.Service.Watch(ctx, prefix, revision, deliver)
	}
	delay, deferred := minBatchDelay, false
	for {
		r.refreshMembers()
		if r.mirror.needsFullState() {
			return fmt.Errorf("%w: %w", errNoLocalState, kv.ErrCompacted)
		}
		query := r.chooser.Next(clock.Now())
		sleep.For(ctx, clock.Until(query.NotBefore))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		batch, err := r.fetchChanges(ctx, query, revision)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		compacted := errors.Is(err, kv.ErrCompacted) && query.ToService()
		if compacted && r.chooser.IsFollower() {
			err = fmt.Errorf("%w: %w", errNoContact, err)
		}
		r.record(query, batch.Revision, err)
		if compacted && r.chooser.IsFollower() && !deferred {
			deferred = true // the watchers read the full state; query them for the changes first
			continue
		}
		if compacted {
			batch, err = r.awaitUpstream(ctx, revision, err)
		}
		if errors.Is(err, kv.ErrCompacted) || err != nil && query.ToService() {
			return err
		}
		if err != nil {
			continue
		}
		revision, deferred = max(revision, batch.Revision), false
		deliver(batch)
		if compacted {
			r.confirmContact(ctx, revision) // peers rely on this process's own contact
			continue
		}
		delay = r.delayBatch(ctx, query, len(batch.Events) > 0, delay)
	}
}

// refreshMembers passes the current members to the chooser, and keeps or releases the state
// for peers depending on whether they may query this process.
func (r *Relay) refreshMembers() {
	if r.RemoteMembers != nil {
		r.chooser.SetRemoteMembers(r.RemoteMembers())
	}
	r.chooser.SetMembers(r.members())
	serving := r.chooser.ServesPeers()
	r.mirror.setServing(serving, clock.Now())
	if !serving {
		r.responses.clear()
	}
}

// errNoLocalState means that peers may query this process from now on and that it holds no
// state to serve.
var errNoLocalState = errors.New("this process has to serve the full state and holds none")

// watchTimeoutDivisor sets the margin after which a poll of the service counts as silent: its
// wait divided by this, in addition to the wait: several round trips of a slow service. Both and the batch delay before the poll must
// together stay below the maximum staleness.
const watchTimeoutDivisor = 6

// poll polls the service for changes. If there is no answer in time, it reads the service's
// revision, since a service can lose its watches and still answer other calls: the same
// revision proves contact, and a later one means that changes were missed.
func (r *Relay) poll(ctx context.Context, revision int64, wait time.Duration) (kv.Batch, error) {
	if r.RevisionKey == "" || !r.chooser.IsWatcher() {
		return r.Poll(ctx, "", revision, wait)
	}
	type result struct {
		batch kv.Batch
		err   error
	}
	pollContext, cancel := context.WithCancel(ctx)
	defer cancel()
	polled := make(chan result, 1)
	go func() {
		batch, err := r.Poll(pollContext, "", revision, wait)
		polled <- result{batch, err}
	}()
	timer := time.NewTimer(wait + wait/watchTimeoutDivisor)
	defer timer.Stop()
	select {
	case answer := <-polled:
		return answer.batch, answer.err
	case <-timer.C:
	}
	at, err := r.serviceRevision(ctx)
	switch {
	case err != nil:
		answer := <-polled
		return answer.batch, answer.err
	case at > revision:
		return kv.Batch{}, fmt.Errorf("the service sends no changes and is at revision %d, this process at %d: %w", at, revision, kv.ErrCompacted)
	}
	return kv.Batch{Revision: revision}, nil
}

// confirmContact reads the service's revision after a peer has supplied the missed changes or the
// full state. If the revision matches, this process may serve its zone immediately instead of after its
// next poll, up to 1.75 s later, so that followers do not turn to the service.
func (r *Relay) confirmContact(ctx context.Context, revision int64) {
	if r.RevisionKey == "" {
		return
	}
	if at, err := r.serviceRevision(ctx); err == nil && at <= revision {
		r.mirror.apply(kv.Batch{Revision: revision}, true, clock.Now())
	}
}

// serviceRevision reads the current revision of the service.
func (r *Relay) serviceRevision(ctx context.Context) (int64, error) {
	_, at, err := r.Service.Read(ctx, r.RevisionKey)
	return at, err
}

// awaitUpstream waits, after the service has compacted its history, until the upstream
// watcher has read the full state, and returns the missed changes from it. Without an
// upstream, or if it has none, it returns the error of the poll.
func (r *Relay) awaitUpstream(ctx context.Context, revision int64, compacted error) (kv.Batch, error) {
	upstream, ok := r.chooser.Upstream(clock.Now())
	if !ok {
		return kv.Batch{}, compacted
	}
	query := feed.Query{Peer: upstream, Wait: r.settings.MaxStaleness}
	batch, err := r.changesFromPeer(ctx, query, revision)
	r.record(query, batch.Revision, err)
	if err != nil || batch.Revision <= revision {
		return kv.Batch{}, compacted
	}
	r.mirror.apply(batch, false, clock.Now())
	return batch, nil
}

// fetchChanges sends one query and applies its result to the mirror.
func (r *Relay) fetchChanges(ctx context.Context, query feed.Query, revision int64) (kv.Batch, error) {
	if query.ToService() {
		batch, err := r.poll(ctx, revision, query.Wait)
		if err == nil {
			r.mirror.apply(batch, true, clock.Now())
		}
		return batch, err
	}
	batch, err := r.changesFromPeer(ctx, query, revision)
	if err == nil {
		r.mirror.apply(batch, false, clock.Now())
	}
	return batch, err
}

// delayBatch pauses after a poll of the service that returned changes, and returns the next
// delay.
func (r *Relay) delayBatch(ctx context.Context, query feed.Query, changed bool, delay time.Duration) time.Duration {
	if !changed || !query.ToService() {
		return minBatchDelay
	}
	if r.chooser.UsesWatchers() {
		sleep.For(ctx, r.settings.BatchDelay())
		return minBatchDelay
	}
	sleep.For(ctx, delay)
	return min(2*delay, maxBatchDelay)
}

// errNoContact means that a peer has lost contact with the service.
var errNoContact = errors.New("peer has no contact with the service")

// errLoading means that a peer is still reading the full state and has got further since its last
// answer.
var errLoading = errors.New("peer is still reading the full state")

// errOlderState means that a peer's state is older than the local one. Accepting it would
// list workers that have left.
var errOlderState = errors.New("state of the peer is older than the local state")

// record passes the outcome of a query to the chooser, counts it and logs failures of peers
// and changes of the source.
func (r *Relay) record(query feed.Query, revision int64, err error) {
	outcome, label := feed.Unreachable, "failed"
	switch {
	case errors.Is(err, errLoading):
		outcome, label = feed.Loading, "loading"
	case errors.Is(err, errNoContact) || errors.Is(err, errOlderState):
		outcome, label = feed.Stale, "behind"
	case err == nil || errors.Is(err, kv.ErrCompacted):
		outcome, label = feed.Answered, "answered"
	}
	r.chooser.RecordOutcome(clock.Now(), query, outcome)
	kind, name := "peer", string(query.Peer.ID)
	if query.ToService() {
		kind, name = "service", "service"
	}
	r.queries.WithLabelValues(kind, label).Inc()
	if outcome != feed.Answered && outcome != feed.Loading && !query.ToService() {
		r.log.WithFields(logrus.Fields{"event": "feed_failed", "source": name, "outcome": label}).WithError(err).Info("Peer did not serve changes; querying another source.")
		return
	}
	if outcome == feed.Answered && r.lastSource != name {
		r.log.WithFields(logrus.Fields{
			"event": "feed_source", "source": name, "before": r.lastSource, "revision": revision, "watching": r.chooser.IsWatcher(),
		}).Info("Source of changes has switched.")
		r.lastSource = name
	}
}
