package limiter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
)

const (
	// sharedTTL is how long a tenant's limit counts as granted by order after a request was sent
	// on.
	sharedTTL = time.Second
	// reportTimeout bounds the reports of leased tokens to stores that grant by order.
	reportTimeout = 300 * time.Millisecond
)

// checkStores probes the stores of which it is not known how they grant tokens, and gives the
// owners of all terms the evidence.
func (o *Owner) checkStores(ctx context.Context) {
	nodes, stores := o.otherStores()
	o.mutex.Lock()
	before := o.checkedAt
	o.support.Update(clock.Now(), stores)
	due := o.support.Due(clock.Now(), stores)
	o.mutex.Unlock()
	var probes sync.WaitGroup
	for i, store := range stores {
		if slices.Contains(due, store.ID) {
			probes.Go(func() { o.probeSupport(ctx, nodes[i], store) })
		}
	}
	probes.Wait()
	o.mutex.Lock()
	now := clock.Now()
	o.checkedAt = now
	for _, state := range o.terms {
		state.owner.Confirm(now, now.Add(evidenceTTL))
	}
	byOrder := o.support.AnyByOrder()
	o.mutex.Unlock()
	if byOrder {
		o.reportLeased(ctx, min(now.Sub(before), evidenceTTL))
	}
}

// otherStores returns all other stores that may grant, in two forms.
func (o *Owner) otherStores() ([]api.Node, []ratelimit.Store) {
	members := map[api.NodeID]bool{}
	for _, node := range o.settings.Nodes() {
		members[node.ID] = true
	}
	var nodes []api.Node
	var stores []ratelimit.Store
	for _, node := range o.settings.Stores() {
		if node.ID != o.settings.Self {
			nodes = append(nodes, node)
			stores = append(stores, ratelimit.Store{ID: string(node.ID), Incarnation: node.Incarnation, Member: members[node.ID]})
		}
	}
	return nodes, stores
}

// lastCheck returns when the stores were last checked.
func (o *Owner) lastCheck() time.Time {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.checkedAt
}

// isChecked reports whether the last check of the stores counts; the mutex must be held.
func (o *Owner) isChecked(now time.Time) bool { return now.Sub(o.checkedAt) < evidenceTTL }

// probeSupport learns whether a store knows leases: one that does grants without an epoch only
// with a permit, which it does not use for probes.
func (o *Owner) probeSupport(ctx context.Context, node api.Node, store ratelimit.Store) {
	grant, err := o.probe(ctx, 0, node, nil)
	_, notLeader := isNotLeader(err)
	if err != nil && !notLeader {
		return
	}
	leases := notLeader || grant.Epoch > 0
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.support.Record(clock.Now(), store, leases) && !leases {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_store_without_leases", "peer": store.ID}).
			Info("A store's build knows no leases; it grants limits by order, and leases don't start, until it is replaced.")
	}
}

// primaryByOrder returns the first live store in a tenant's placement order if its build knows no
// leases: it grants the whole limit to whoever asks it.
func (o *Owner) primaryByOrder(tenant string) (api.Node, bool) {
	o.mutex.Lock()
	byOrder := o.support.AnyByOrder()
	o.mutex.Unlock()
	if !byOrder {
		return api.Node{}, false
	}
	for _, node := range placement.RankStores(tenant, o.settings.Nodes()) {
		if node.Suspected || node.Leaving {
			continue
		}
		o.mutex.Lock()
		defer o.mutex.Unlock()
		return node, o.support.GrantsByOrder(string(node.ID))
	}
	return api.Node{}, false
}

// grantBeside answers a request under leases for a tenant whose limit another store grants by order:
// with that store's grant, or else with the part that this one may grant beside it.
func (o *Owner) grantBeside(ctx context.Context, group api.GroupID, lease Lease, primary api.Node, request ratelimit.TokenRequest) (ratelimit.Grant, *api.Error) {
	o.mutex.Lock()
	state, failure := o.termState(group, lease)
	active := failure == nil && state.activation.Active()
	if active {
		now := clock.Now()
		state.owner.Share(now, now.Add(sharedTTL), request)
	}
	o.mutex.Unlock()
	if failure != nil {
		return ratelimit.Grant{}, failure
	}
	if active && request.Instance > 0 { // holders of builds without leases ask that store first
		forwarded := request
		forwarded.Lease, forwarded.Leases, forwarded.CompleteFor = nil, nil, 0
		var grant ratelimit.Grant
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		err := transport.Call(ctx, o.settings.Client, "forward request for tokens", primary.Address, PathTokens, forwarded, &grant)
		if err == nil {
			return grant, nil
		}
		o.settings.Log.WithFields(logrus.Fields{"peer": primary.ID, "group": group}).WithError(err).
			Debug("A store that grants a limit by order did not answer; this one grants a part beside it.")
	}
	return o.grantAsLeader(group, lease, request)
}

// reportLeased reports the tokens that leases have accumulated in a period to the stores that grant
// the same tenants' limits by order, which then grant fewer.
func (o *Owner) reportLeased(ctx context.Context, period time.Duration) {
	var reports []ratelimit.TokenRequest
	o.mutex.Lock()
	for group, state := range o.terms {
		if term, leads := o.settings.Leads(group); leads && term == state.term && state.activation.Active() {
			reports = append(reports, state.owner.LeasedTokens(clock.Now(), period)...)
		}
	}
	o.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, report := range reports {
		primary, ok := o.primaryByOrder(report.Tenant)
		if !ok {
			continue
		}
		var grant ratelimit.Grant
		if err := transport.Call(ctx, o.settings.Client, "report leased tokens", primary.Address, PathTokens, report, &grant); err != nil {
			o.settings.Log.WithFields(logrus.Fields{"peer": primary.ID, "tenant": report.Tenant, "tokens": report.SpentElsewhere}).WithError(err).
				Debug("Leased tokens could not be reported to the store that grants the limit by order.")
		}
	}
}
