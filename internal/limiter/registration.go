package limiter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/ratelimit"
)

const (
	// registrationTimeout covers a commit on a slow disk.
	registrationTimeout = 2 * time.Second
	// holderSweepInterval is the time between removals of expired holders.
	holderSweepInterval = time.Minute
)

// updateHolders registers the sender of a request in the background, and removes expired
// holders; the mutex must be held.
func (o *Owner) updateHolders(now time.Time, group api.GroupID, state *ownerTerm, request ratelimit.TokenRequest) {
	if state.activation.ByOrder() {
		return // holders get no leases
	}
	if request.Holder != "" && request.Instance > 0 && !state.owner.IsRegistered(request.Holder) {
		o.startChange(group, state, request.Holder, false)
	}
	if now.Sub(state.sweptAt) < holderSweepInterval {
		return
	}
	state.sweptAt = now
	expiredHolders := state.owner.ExpiredHolders(now)
	if len(expiredHolders) > 0 && !state.marked {
		o.startChange(group, state, leasesMarker, false)
		return // the holders are removed once the marker is committed
	}
	for _, expired := range expiredHolders {
		if !state.changing[expired] {
			state.owner.Unregister(now, expired)
			o.startChange(group, state, expired, true)
		}
	}
}

// startChange commits a registration or removal, unless another one of the holder is being
// committed; the mutex must be held.
func (o *Owner) startChange(group api.GroupID, state *ownerTerm, holder string, removed bool) {
	if state.changing[holder] {
		return
	}
	state.changing[holder] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
		defer cancel()
		failure := o.settings.Register(ctx, group, holder, removed)
		o.mutex.Lock()
		defer o.mutex.Unlock()
		delete(state.changing, holder)
		switch {
		case failure != nil || removed:
		case holder == leasesMarker:
			state.marked = true
		default:
			state.owner.Register(clock.Now(), holder)
		}
		if failure != nil {
			o.settings.Log.WithFields(logrus.Fields{"event": "limit_holder_unregistered", "holder": holder, "removed": removed, "group": group}).WithError(failure).
				Info("The registration of a holder could not be changed; until the next attempt it gets no leases.")
		}
	}()
}
