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
	// stuckCheckInterval is the time between looks at whether the watch has
	// missed a change.
	stuckCheckInterval   = 5 * time.Second
	firstWatchRetryDelay = 250 * time.Millisecond
	lastWatchRetryDelay  = 15 * time.Second
)

var (
	errNotWatcher = errors.New("other routers watch now")
	errWatchStuck = errors.New("the watch delivers nothing while the table changes")
)

// followService watches the service while this node is one of the few that do.
// Failures are retried with growing pauses; the table in force stays.
func (n *Node) followService(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstWatchRetryDelay, lastWatchRetryDelay
	watch := &serviceWatch{node: n, contact: retry.Reset}
	for ctx.Err() == nil {
		if !n.watches() {
			n.pause(ctx, min(watcherCheckInterval, n.Settings.Membership.Interval))
			continue
		}
		err := watch.run(ctx)
		n.tableMetrics.watching.Set(0)
		if ctx.Err() != nil || errors.Is(err, errNotWatcher) {
			continue
		}
		watch.report(err)
		n.pause(ctx, retry.NextBackOff())
	}
}

// watches tells whether this node is one of the few that watch the service.
func (n *Node) watches() bool {
	higher := 0
	own := placement.Score("table-watch", n.ID())
	for _, node := range n.Nodes() {
		if node.Role == api.RoleRouter && !node.Leaving && placement.Score("table-watch", node.ID) > own {
			higher++
		}
	}
	return higher < n.Settings.KeyValueService.Watchers
}

// serviceWatch is a node's watch of the service, across reconnections.
type serviceWatch struct {
	node      *Node
	contact   func()       // called when the service answers
	whole     bool         // the whole table was read, or came from a peer
	failing   bool         // the last try failed
	delivered atomic.Int64 // all changes up to here were handed to the replica
}

// report logs an outage once, and its end in read.
func (s *serviceWatch) report(err error) {
	entry := s.node.Logger("table").WithError(err)
	if errors.Is(err, kv.ErrCompacted) {
		s.whole = false
		entry.Info("The service no longer has the changes since the table in force; reading the whole table.")
		return
	}
	if s.failing {
		entry.Debug("The key-value service still does not answer.")
		return
	}
	s.failing = true
	entry.Warn("The key-value service does not answer; serving with the last known table.")
}

// run reads the table if need be and watches it until something breaks.
func (s *serviceWatch) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	prefix := s.node.Settings.KeyValueService.Prefix + table.KeyPrefix
	if err := s.start(ctx, prefix); err != nil {
		return err
	}
	go s.supervise(ctx, cancel, prefix)
	err := s.node.KeyValue.Watch(ctx, prefix, s.delivered.Load(), s.deliver)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// start makes sure that all changes up to delivered are here.
func (s *serviceWatch) start(ctx context.Context, prefix string) error {
	if snapshot := s.node.Table(); snapshot != nil && s.whole {
		s.delivered.Store(snapshot.Revision())
		return nil
	}
	result, err := s.node.KeyValue.Range(ctx, prefix)
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	s.answered()
	received := table.Received{Delta: api.TableDelta{Revision: result.Revision, Full: true}}
	for _, pair := range result.Pairs {
		row, err := s.decode(pair)
		if err != nil {
			if key, keyErr := table.KeyOf(s.prefix(), pair.Key); keyErr == nil {
				received.Unreadable = append(received.Unreadable, key)
			}
			continue
		}
		received.Delta.Rows = append(received.Delta.Rows, row)
	}
	s.node.replica.Tell(received)
	s.whole = true
	s.delivered.Store(result.Revision)
	return nil
}

func (s *serviceWatch) prefix() string { return s.node.Settings.KeyValueService.Prefix }

// answered notes that the service is there.
func (s *serviceWatch) answered() {
	s.contact()
	if s.failing {
		s.failing = false
		s.node.Logger("table").Info("The key-value service answers again.")
	}
	s.node.tableMetrics.watching.Set(1)
}

func (s *serviceWatch) decode(pair kv.Pair) (api.VersionedRow, error) {
	row, err := table.DecodeKeyed(s.prefix(), pair.Key, pair.Value, pair.Revision)
	if err != nil {
		s.node.tableMetrics.unreadable.Inc()
		s.node.Logger("table").WithError(err).Errorf("Key %s holds no valid row; it is left out, and the row in force stays.", pair.Key)
	}
	return row, err
}

func (s *serviceWatch) deliver(batch kv.Batch) {
	s.answered()
	delta := api.TableDelta{After: s.delivered.Load(), Revision: batch.Revision}
	for _, event := range batch.Events {
		row, err := s.rowOf(event)
		if err == nil {
			delta.Rows = append(delta.Rows, row)
		}
	}
	s.node.replica.Tell(table.Received{Delta: delta})
	s.delivered.Store(max(batch.Revision, delta.After))
}

func (s *serviceWatch) rowOf(event kv.Event) (api.VersionedRow, error) {
	if !event.Deleted {
		return s.decode(event.Pair)
	}
	key, err := table.KeyOf(s.prefix(), event.Pair.Key)
	row := api.Row{Service: key.Service, Place: key.Place}
	return api.VersionedRow{Row: row, Revision: event.Pair.Revision, Deleted: true}, err
}

// supervise ends the watch when other routers are to watch, or when it has
// missed a change: a connection can be open and dead. Two looks in a row must
// find the same change missing.
func (s *serviceWatch) supervise(ctx context.Context, cancel context.CancelCauseFunc, prefix string) {
	missed := int64(0)
	nextCheck := time.Now().Add(stuckCheckInterval)
	for s.node.pause(ctx, watcherCheckInterval) {
		if !s.node.watches() {
			cancel(errNotWatcher)
			return
		}
		if time.Now().Before(nextCheck) {
			continue
		}
		nextCheck = time.Now().Add(stuckCheckInterval)
		latest, err := s.node.KeyValue.Latest(ctx, prefix)
		if err != nil {
			continue
		}
		if missed > s.delivered.Load() {
			cancel(errWatchStuck)
			return
		}
		missed = latest.Modified
		s.warnIfBehind(latest)
	}
}

// warnIfBehind tells of a service that was restored to an older state.
func (s *serviceWatch) warnIfBehind(latest kv.Latest) {
	if snapshot := s.node.Table(); snapshot != nil && latest.Revision < snapshot.Revision() {
		s.node.Logger("table").Errorf(
			"The key-value service is at revision %d, behind %d of the table in force; it was restored. Edits are refused.",
			latest.Revision, snapshot.Revision())
	}
}
