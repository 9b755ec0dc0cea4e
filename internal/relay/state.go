package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
)

// Range reads a prefix. The state of all keys, prefix "", is read from a watcher if possible.
func (r *Relay) Range(ctx context.Context, prefix string) (kv.RangeResult, error) {
	if prefix != "" {
		return r.Service.Range(ctx, prefix)
	}
	wait := newStateWait(r.log)
	result, err := r.readState(ctx, wait)
	wait.end()
	if err == nil {
		r.failedReads = 0
		wait.logRead(len(result.Pairs))
		return result, nil
	}
	if r.failedReads%failuresPerLine == 0 {
		wait.logFailure(r.failedReads+1, err)
	}
	r.failedReads++
	return result, err
}

// failuresPerLine is the number of failed reads of the full state in a row that share a log line.
const failuresPerLine = 16

// readState reads the full state from the sources that the chooser selects.
func (r *Relay) readState(ctx context.Context, wait *stateWait) (kv.RangeResult, error) {
	wait.enter(waitService, "")
	if result, complete := r.readFirstPage(ctx); complete {
		return result, nil
	}
	wait.enter(waitZone, "")
	r.awaitZone(ctx)
	for ctx.Err() == nil {
		r.refreshMembers()
		query := r.chooser.NextFullRead(clock.Now())
		wait.enter(waitBackoff, "")
		sleep.For(ctx, min(clock.Until(query.NotBefore), memberPollInterval))
		if clock.Until(query.NotBefore) > 0 {
			continue
		}
		if query.ToService() {
			wait.enter(waitService, "")
			if result, complete, err := r.readPage(ctx); complete || err != nil {
				return result, err
			}
			continue
		}
		wait.enter(waitPeer, string(query.Peer.ID))
		result, err := r.readStateFromPeer(ctx, query.Peer)
		if known := r.mirror.statusAfter(0).revision; err == nil && result.Revision < known {
			err = fmt.Errorf("%w: %s is at revision %d, this process at %d", errOlderState, query.Peer.Address, result.Revision, known)
		}
		r.record(query, result.Revision, err)
		if err == nil {
			r.reader = nil
			r.mirror.reset(result, false, clock.Now())
			if r.chooser.IsWatcher() {
				r.confirmContact(ctx, result.Revision) // peers rely on this process's own contact
			}
			return result, nil
		}
	}
	return kv.RangeResult{}, ctx.Err()
}

// memberPollInterval is the interval at which a process that waits for its next query
// refreshes the members of its zone.
const memberPollInterval = 200 * time.Millisecond

// readPage reads the next page of the full state from the service, and returns the state after
// the last one. It must only be called for a query that the chooser has selected, before each page
// anew: falling back to the service after any failed peer would make all processes of a starting
// fleet read all pages at once.
func (r *Relay) readPage(ctx context.Context) (result kv.RangeResult, complete bool, err error) {
	if r.reader == nil {
		r.reader = newStateReader(r.Service)
	}
	asked := clock.Now()
	complete, err = r.reader.next(ctx)
	switch {
	case errors.Is(context.Cause(ctx), errZoneKnown):
		return kv.RangeResult{}, false, errZoneKnown
	case err != nil:
		r.record(feed.Query{}, 0, err)
		return kv.RangeResult{}, false, err
	case !complete:
		r.mirror.addProgress(1)
		r.queries.WithLabelValues("service", "page").Inc()
		now := clock.Now()
		r.chooser.RecordPage(now, now.Sub(asked))
		return kv.RangeResult{}, false, nil
	}
	result, r.reader = r.reader.result(), nil
	r.record(feed.Query{}, result.Revision, nil)
	r.mirror.reset(result, true, clock.Now())
	return result, true, nil
}
