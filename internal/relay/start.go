package relay

import (
	"context"
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

// readSmallState reads a state that fits one call while this process starts and does not know
// its zone yet. It saves the wait for the zone after the loss of all processes, at the price
// of one call per process.
func (r *Relay) readSmallState(ctx context.Context) (kv.RangeResult, bool) {
	if r.zoneAwaited || r.ZoneKnown == nil || r.ZoneKnown() {
		return kv.RangeResult{}, false
	}
	result, complete, err := r.Service.RangeOnce(ctx, "")
	if err == nil && !complete {
		return kv.RangeResult{}, false
	}
	r.record(feed.Query{}, result.Revision, err)
	if err != nil {
		return kv.RangeResult{}, false
	}
	r.mirror.reset(result, true, clock.Now())
	return result, true
}
