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
	// activationInterval is the time between checks whether leases may start.
	activationInterval = 100 * time.Millisecond
	// checkInterval is the time between checks of the stores while nothing is to be started.
	checkInterval = 500 * time.Millisecond
	// evidenceTTL is how long a check of the stores counts. It covers a few checks that are late.
	evidenceTTL = 2 * time.Second
	// leasesMarker is registered like a holder. It keeps in the group's log that limits are
	// granted under leases while no holder is registered.
	leasesMarker = "/leases"
	// byOrderMarker is registered while operators want limits to be granted by order.
	byOrderMarker = "/by-order"
)

// Run starts and ends leases for the groups that this store leads, and checks how other stores
// grant tokens, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(activationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// step takes the next step in the groups that this store leads.
func (o *Owner) step(ctx context.Context) {
	leads, settled := false, true
	var pending []api.GroupID
	for group := range api.GroupID(o.settings.Groups) {
		if term, ok := o.settings.Leads(group); ok {
			leads = true
			if !o.isSettled(group, term) {
				settled, pending = false, append(pending, group)
			}
		}
	}
	if !leads || settled && clock.Since(o.lastCheck()) < checkInterval {
		return
	}
	o.checkStores(ctx)
	for _, group := range pending {
		o.advance(ctx, group)
	}
}

// isSettled reports whether leases are in use in a term, and are to be.
func (o *Owner) isSettled(group api.GroupID, term uint64) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.terms[group]
	return state != nil && state.term == term && state.activation.Active() && !state.activation.ByOrder()
}

// advance takes the next step towards leases in a group, or away from them, and reports whether
// they are in use.
func (o *Owner) advance(ctx context.Context, group api.GroupID) (active bool) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	lease, failure := o.settings.Lease(ctx, group)
	if failure != nil || !lease.includes(clock.Now()) {
		return false
	}
	o.mutex.Lock()
	state, failure := o.termState(group, lease)
	o.mutex.Unlock()
	if failure != nil {
		o.settings.Log.WithField("group", group).WithError(failure).Debug("The holders of limits could not be read.")
		return false
	}
	o.mutex.Lock()
	now := clock.Now()
	step := state.activation.Update(now, o.isChecked(now) && o.support.AllKnowLeases(now))
	o.mutex.Unlock()
	switch step {
	case ratelimit.StepStart:
		failure = o.startLeases(ctx, group, state)
	case ratelimit.StepEnd:
		failure = o.endLeases(ctx, group, state)
	}
	if failure != nil {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_leases_delayed", "group": group}).WithError(failure).
			Warn("The start or end of leases could not be committed; it is tried again.")
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return state.activation.Active()
}

// startLeases commits that leases are in use from now on.
func (o *Owner) startLeases(ctx context.Context, group api.GroupID, state *ownerTerm) *api.Error {
	if failure := o.settings.Register(ctx, group, leasesMarker, false); failure != nil {
		return failure
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state.activation.Activate()
	state.marked = true
	now := clock.Now()
	state.owner = ratelimit.NewOwner(o.settings.Tolerance, state.term, now, nil)
	state.owner.Confirm(now, o.checkedAt.Add(evidenceTTL))
	o.settings.Log.WithFields(logrus.Fields{"event": "limit_leases_started", "group": group, "term": state.term}).
		Info("All stores know leases; from now on the leader owns the group's limits.")
	return nil
}

// endLeases commits that leases, which have all expired, are no longer in use.
func (o *Owner) endLeases(ctx context.Context, group api.GroupID, state *ownerTerm) *api.Error {
	registered, failure := o.settings.Holders(group)
	if failure != nil {
		return failure
	}
	for _, holder := range registered {
		if holder == byOrderMarker {
			continue
		}
		if failure := o.settings.Register(ctx, group, holder, true); failure != nil {
			return failure
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state.activation.Deactivate()
	state.marked = false
	o.settings.Log.WithFields(logrus.Fields{"event": "limit_leases_ended", "group": group, "term": state.term}).
		Info("All leases have expired; from now on stores grant the group's limits by order, as operators decided.")
	return nil
}
