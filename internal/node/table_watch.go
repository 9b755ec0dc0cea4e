package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/table"
)

const (
	watcherCheckInterval = time.Second
	stallCheckInterval   = 5 * time.Second
	minWatchRetryDelay   = 250 * time.Millisecond
	maxWatchRetryDelay   = 15 * time.Second
)

var (
	errNotWatcher   = errors.New("this router is no longer one of the watchers")
	errWatchStalled = errors.New("watch stalled: the table changed but no event was delivered")
)

// watchKeyValue watches the key-value service while this node is one of the
// designated watchers. Failures are retried with exponential backoff; the current
// table stays in use.
func (n *Node) watchKeyValue(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minWatchRetryDelay, maxWatchRetryDelay
	watch := &serviceWatch{node: n, onContact: retry.Reset}
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			n.sleep(ctx, min(watcherCheckInterval, n.Settings.Membership.Interval))
			continue
		}
		err := watch.run(ctx)
		n.tableMetrics.watching.Set(0)
		if ctx.Err() != nil || errors.Is(err, errNotWatcher) {
			continue
		}
		watch.reportFailure(err)
		n.sleep(ctx, retry.NextBackOff())
	}
}

// shouldWatch reports whether this node is one of the designated watchers: the
// routers with the highest rendezvous scores, up to the configured number.
func (n *Node) shouldWatch() bool {
	higher := 0
	own := placement.Score("table-watch", n.ID())
	for _, node := range n.Nodes() {
		if node.Role == api.RoleRouter && !node.Leaving && placement.Score("table-watch", node.ID) > own {
			higher++
		}
	}
	return higher < n.Settings.KeyValueService.Watchers
}

// serviceWatch is the state of a node's watch across reconnections.
type serviceWatch struct {
	node      *Node
	onContact func()       // called on each response of the service
	loaded    bool         // the full table has been read
	failing   bool         // the last attempt failed
	delivered atomic.Int64 // revision up to which the replica has all changes
}

// reportFailure logs the first failure of an outage as a warning and later ones at
// debug level; recordContact logs the recovery.
func (s *serviceWatch) reportFailure(err error) {
	entry := s.node.Logger("table").WithError(err)
	if errors.Is(err, kv.ErrCompacted) {
		s.loaded = false
		entry.Info("The key-value service has compacted the revisions after the current table; reading the full table.")
		return
	}
	if s.failing {
		entry.Debug("The key-value service is still unavailable.")
		return
	}
	s.failing = true
	entry.Warn("The key-value service is unavailable; serving with the last known table.")
}

// run reads the full table if necessary and watches it until an error occurs.
func (s *serviceWatch) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	prefix := s.node.Settings.KeyValueService.Prefix + table.KeyPrefix
	if err := s.ensureLoaded(ctx, prefix); err != nil {
		return err
	}
	go s.supervise(ctx, cancel, prefix)
	err := s.node.KeyValue.Watch(ctx, prefix, s.delivered.Load(), s.deliver)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// ensureLoaded reads the full table unless one is loaded, and sets delivered to its
// revision.
func (s *serviceWatch) ensureLoaded(ctx context.Context, prefix string) error {
	if snapshot := s.node.Table(); snapshot != nil && s.loaded {
		s.delivered.Store(snapshot.Revision())
		return nil
	}
	result, err := s.node.KeyValue.Range(ctx, prefix)
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	s.recordContact()
	received := table.DeltaReceived{Delta: api.TableDelta{Revision: result.Revision, Full: true}}
	for _, pair := range result.Pairs {
		row, err := s.decode(pair)
		if err != nil {
			if key, keyErr := table.ParseStoreKey(s.prefix(), pair.Key); keyErr == nil {
				received.Unreadable = append(received.Unreadable, key)
			}
			continue
		}
		received.Delta.Rows = append(received.Delta.Rows, row)
	}
	s.node.replica.Tell(received)
	s.loaded = true
	s.delivered.Store(result.Revision)
	return nil
}

func (s *serviceWatch) prefix() string { return s.node.Settings.KeyValueService.Prefix }

// recordContact records that the service has responded.
func (s *serviceWatch) recordContact() {
	s.onContact()
	if s.failing {
		s.failing = false
		s.node.Logger("table").Info("The key-value service is available again.")
	}
	s.node.tableMetrics.watching.Set(1)
}

func (s *serviceWatch) decode(pair kv.Pair) (api.VersionedRow, error) {
	row, err := table.DecodeKeyed(s.prefix(), pair.Key, pair.Value, pair.Revision)
	if err != nil {
		s.node.tableMetrics.unreadable.Inc()
		s.node.Logger("table").WithError(err).Errorf("Key %s does not hold a valid row; skipping it and keeping the current row.", pair.Key)
	}
	return row, err
}

func (s *serviceWatch) deliver(batch kv.Batch) {
	s.recordContact()
	delta := api.TableDelta{After: s.delivered.Load(), Revision: batch.Revision}
	for _, event := range batch.Events {
		row, err := s.decodeEvent(event)
		if err == nil {
			delta.Rows = append(delta.Rows, row)
		}
	}
	s.node.replica.Tell(table.DeltaReceived{Delta: delta})
	s.delivered.Store(max(batch.Revision, delta.After))
}

func (s *serviceWatch) decodeEvent(event kv.Event) (api.VersionedRow, error) {
	if !event.Deleted {
		return s.decode(event.Pair)
	}
	key, err := table.ParseStoreKey(s.prefix(), event.Pair.Key)
	row := api.Row{Service: key.Service, Place: key.Place}
	return api.VersionedRow{Row: row, Revision: event.Pair.Revision, Deleted: true}, err
}

// supervise cancels the watch when this router is no longer a designated watcher, or
// when two consecutive checks find the same change undelivered: the connection may be
// open but dead.
func (s *serviceWatch) supervise(ctx context.Context, cancel context.CancelCauseFunc, prefix string) {
	missed := int64(0)
	nextCheck := time.Now().Add(stallCheckInterval)
	for s.node.sleep(ctx, watcherCheckInterval) {
		if !s.node.shouldWatch() {
			cancel(errNotWatcher)
			return
		}
		if time.Now().Before(nextCheck) {
			continue
		}
		nextCheck = time.Now().Add(stallCheckInterval)
		latest, err := s.node.KeyValue.Latest(ctx, prefix)
		if err != nil {
			continue
		}
		if missed > s.delivered.Load() {
			cancel(errWatchStalled)
			return
		}
		missed = latest.ModRevision
		s.warnIfBehind(latest)
	}
}

// warnIfBehind logs an error when the service was restored to a revision older than the
// current table.
func (s *serviceWatch) warnIfBehind(latest kv.Latest) {
	if snapshot := s.node.Table(); snapshot != nil && latest.Revision < snapshot.Revision() {
		s.node.Logger("table").Errorf(
			"The key-value service is at revision %d, older than revision %d of the current table: it was probably restored from a backup. Edits are refused.",
			latest.Revision, snapshot.Revision())
	}
}
