package relay

import (
	"context"
	"errors"
	"time"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
)

const (
	// zoneWaitTimeout bounds how long a starting process waits to learn the members of its
	// zone before it reads a large state from the service. A process whose zone is lost has
	// no configuration until then.
	zoneWaitTimeout  = 500 * time.Millisecond
	zonePollInterval = 20 * time.Millisecond
)

// awaitZone waits, on its first call only, until the members of the zone are known.
func (r *Relay) awaitZone(ctx context.Context) {
	if r.zoneAwaited || r.ZoneKnown == nil {
		return
	}
	r.zoneAwaited = true
	for deadline := clock.Now().Add(zoneWaitTimeout); !r.ZoneKnown() && clock.Until(deadline) > 0 && ctx.Err() == nil; {
		sleep.For(ctx, zonePollInterval)
	}
}

// readFirstPage reads the first page while this process starts and does not know its zone yet.
// For a state that fits one page it saves the wait for the zone after the loss of all processes,
// at the price of one call per process. Of a larger state the page is kept. The read ends once
// the zone is known to have watchers for this process, to which the link of the service is left.
func (r *Relay) readFirstPage(ctx context.Context) (result kv.RangeResult, complete bool) {
	if r.zoneAwaited || r.ZoneKnown == nil || r.ZoneKnown() {
		return kv.RangeResult{}, false
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for sleep.For(ctx, zonePollInterval) {
			if r.ZoneKnown() {
				if r.isFollower() {
					cancel(errZoneKnown)
				}
				return
			}
		}
	}()
	result, complete, err := r.readPage(ctx)
	return result, complete && err == nil
}

// errZoneKnown is the cause with which a read of the first page is cancelled.
var errZoneKnown = errors.New("watchers of the zone are known")

// isFollower reports whether other members of the zone query the service for this process. It is
// safe for concurrent use.
func (r *Relay) isFollower() bool { return r.zoneView().IsFollower() }

// Readers returns how many processes of the fleet read the full state from the service, and whether
// this process is one of them. It is safe for concurrent use.
func (r *Relay) Readers() (n int, self bool) {
	zones := 1
	if r.RemoteMembers != nil {
		zones += len(r.RemoteMembers())
	}
	return r.zoneView().Readers(zones)
}

// zoneView returns a chooser for questions about the members of the zone.
func (r *Relay) zoneView() *feed.Chooser {
	chooser := feed.New(r.settings)
	chooser.SetMembers(r.members())
	return chooser
}
