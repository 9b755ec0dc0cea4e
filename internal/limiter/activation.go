package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/ratelimit"
)

const (
	// activationInterval is the time between checks whether leases may start.
	activationInterval = 100 * time.Millisecond
	// silentStoreTimeout is how long a store that does not answer holds leases up. It is well
	// above the time of a restart; a store that is gone may stay registered for good.
	silentStoreTimeout = 10 * time.Second
	// leasesMarker is registered like a holder. It keeps in the group's log that limits are
	// granted under leases while no holder is registered.
	leasesMarker = "/leases"
	// byOrderMarker is registered while operators want limits to be granted by order.
	byOrderMarker = "/by-order"
)

// storeSupport is what is known of a process of a store.
type storeSupport struct {
	incarnation uint64
	seenAt      time.Time // first
	answered    bool
	leases      bool // it grants only under a lease or with a permit
}

// Run starts and ends leases for the groups that this store leads, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(activationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for group := range api.GroupID(o.settings.Groups) {
			if term, leads := o.settings.Leads(group); leads && !o.isSettled(group, term) {
				o.advance(ctx, group)
			}
		}
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
	supported := o.allStoresKnowLeases(ctx)
	o.mutex.Lock()
	step := state.activation.Update(clock.Now(), supported)
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
	state.owner = ratelimit.NewOwner(o.settings.Tolerance, state.term, clock.Now(), nil)
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

// allStoresKnowLeases probes stores that are not known yet, and reports whether all grant only
// under a lease or with a permit. Stores that have been silent for silentStoreTimeout don't count.
func (o *Owner) allStoresKnowLeases(ctx context.Context) bool {
	var probes sync.WaitGroup
	stores := o.settings.Stores()
	for _, store := range stores {
		if store.ID != o.settings.Self && !o.supportOf(store).answered {
			probes.Go(func() { o.probeSupport(ctx, store) })
		}
	}
	probes.Wait()
	now := clock.Now()
	for _, store := range stores {
		if store.ID == o.settings.Self {
			continue
		}
		support := o.supportOf(store)
		silent := !support.answered && now.Sub(support.seenAt) >= silentStoreTimeout
		if !support.leases && !silent {
			return false
		}
	}
	return true
}

// supportOf returns what is known of a store's process; a new one starts unknown.
func (o *Owner) supportOf(store api.Node) storeSupport {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	support, known := o.support[store.ID]
	if !known || support.incarnation != store.Incarnation {
		support = storeSupport{incarnation: store.Incarnation, seenAt: clock.Now()}
		o.support[store.ID] = support
	}
	return support
}

// probeSupport learns whether a store knows leases: one that does grants without an epoch only
// with a permit, which it does not use for probes.
func (o *Owner) probeSupport(ctx context.Context, store api.Node) {
	grant, err := o.probe(ctx, 0, store)
	_, notLeader := isNotLeader(err)
	if err != nil && !notLeader {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	support := o.support[store.ID]
	if support.incarnation != store.Incarnation {
		return
	}
	support.answered, support.leases = true, notLeader || grant.Epoch > 0
	o.support[store.ID] = support
	if !support.leases {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_store_without_leases", "peer": store.ID}).
			Info("A store's build knows no leases; limits are granted by order until it is replaced.")
	}
}
