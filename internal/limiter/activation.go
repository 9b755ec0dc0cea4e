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
)

// storeSupport is what is known of a process of a store.
type storeSupport struct {
	incarnation uint64
	seenAt      time.Time // first
	answered    bool
	leases      bool // it grants only under a lease or with a permit
}

// Run starts leases for the groups that this store leads, once every store knows them, until ctx
// ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(activationInterval)
	defer ticker.Stop()
	active := map[api.GroupID]bool{}
	for len(active) < o.settings.Groups {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for group := range api.GroupID(o.settings.Groups) {
			if !active[group] && o.advance(ctx, group) {
				active[group] = true
			}
		}
	}
}

// advance takes the next step towards leases in a group, and reports whether they have started.
func (o *Owner) advance(ctx context.Context, group api.GroupID) (active bool) {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	lease, failure := o.settings.Lease(ctx, group)
	if failure != nil || !lease.includes(clock.Now()) {
		return false
	}
	o.mutex.Lock()
	state, failure := o.termState(group, lease)
	pending := failure == nil && !state.activation.Active()
	o.mutex.Unlock()
	if !pending {
		return failure == nil
	}
	supported := o.allStoresKnowLeases(ctx)
	o.mutex.Lock()
	due := state.activation.Update(clock.Now(), supported)
	o.mutex.Unlock()
	if !due {
		return false
	}
	if failure := o.settings.Register(ctx, group, leasesMarker, false); failure != nil {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_leases_delayed", "group": group}).WithError(failure).
			Warn("The start of leases could not be committed; the group's limits have no owner until it is.")
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state.activation.Activate()
	state.owner = ratelimit.NewOwner(o.settings.Tolerance, state.term, clock.Now(), nil)
	o.settings.Log.WithFields(logrus.Fields{"event": "limit_leases_started", "group": group, "term": state.term}).
		Info("All stores know leases; from now on the leader owns the group's limits.")
	return true
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
