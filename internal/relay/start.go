package relay

import (
	"context"
	"time"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/pause"
)

const (
	// joinWait is for how long a process that starts does not read a large state from the
	// service before it knows the others of its zone: a live one answers within a round
	// trip, one that starts at the same time within a heartbeat. Longer it must not be: a
	// process whose zone is lost has no configuration until then.
	joinWait = 500 * time.Millisecond
	joinPoll = 20 * time.Millisecond
)

// awaitJoined waits until this process knows the others of its zone, once.
func (r *Relay) awaitJoined(ctx context.Context) {
	if r.joined || r.Joined == nil {
		return
	}
	r.joined = true
	for deadline := clock.Now().Add(joinWait); !r.Joined() && clock.Until(deadline) > 0 && ctx.Err() == nil; {
		pause.For(ctx, joinPoll)
	}
}

// smallOfService reads a state that fits one call, where this process starts and does not
// know its zone yet. After the loss of all processes there is nobody who could tell it, and
// callers were turned away for the whole joinWait. The call is the price: one a process.
func (r *Relay) smallOfService(ctx context.Context) (kv.RangeResult, bool) {
	if r.joined || r.Joined == nil || r.Joined() {
		return kv.RangeResult{}, false
	}
	result, whole, err := r.Service.RangeOnce(ctx, "")
	if err == nil && !whole {
		return kv.RangeResult{}, false
	}
	r.ended(feed.Question{}, result.Revision, err)
	if err != nil {
		return kv.RangeResult{}, false
	}
	r.mirror.reset(result, true, clock.Now())
	return result, true
}
