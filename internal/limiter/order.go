package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
	"github.com/dykewing/dykewing/route"
)

const (
	// probeTimeout is less than a frontend waits for a store.
	probeTimeout = 40 * time.Millisecond
	// forwardTimeout leaves time for the answer to the frontend.
	forwardTimeout = 45 * time.Millisecond
	// viewCompleteAfter is how long after a start members may be missing from its view. It
	// covers a few exchanges between zones.
	viewCompleteAfter = 5 * time.Second
	// probeTenant with a number appended names tenants that exist only in probes.
	probeTenant = "order-permit/"
)

// probe asks a store how it grants the limits of a group. Claims are those for the group's leader.
func (o *Owner) probe(ctx context.Context, group api.GroupID, store api.Node, claims []ratelimit.Claim) (grant ratelimit.Grant, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := ratelimit.TokenRequest{
		Tenant: o.probeTenantOf(group), Limit: route.RateLimit{Rate: 1, Burst: 1}, Probe: true, Store: string(o.settings.Self), Claims: claims,
	}
	err = transport.Call(ctx, o.settings.Client, "probe limits", store.Address, PathTokens, request, &grant)
	return grant, err
}

// probeTenantOf returns a tenant name that is assigned to a group.
func (o *Owner) probeTenantOf(group api.GroupID) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint(probeTenant, i); placement.TenantGroup(api.TenantID(name), o.settings.Groups) == group {
			return name
		}
	}
}

// isNotLeader reports whether a store answered that another one owns a limit.
func isNotLeader(err error) (leader api.NodeID, ok bool) {
	var failure *api.Error
	if !errors.As(err, &failure) || failure.Code != api.CodeNotLeader {
		return "", false
	}
	return failure.Leader, true
}

// grantAsFollower answers a request at a store without the group's lease: by order if the
// group's leader permits it. notOwner is the answer under leases.
func (o *Owner) grantAsFollower(ctx context.Context, group api.GroupID, request ratelimit.TokenRequest, notOwner *api.Error) (ratelimit.Grant, *api.Error) {
	permit := o.permit(ctx, group, request.Tenant)
	now := clock.Now()
	switch {
	case permit.Allowed(now):
		o.mutex.Lock()
		defer o.mutex.Unlock()
		return o.grantByOrder(now, request), nil
	case !permit.LeasesInUse(now):
		return ratelimit.Grant{}, notOwner
	}
	leader, known := o.settings.Leader(group)
	if !known || leader.ID == o.settings.Self {
		return ratelimit.Grant{}, notOwner
	}
	if request.Holder == "" || request.Instance > 0 {
		notOwner.Leader = leader.ID
		return ratelimit.Grant{}, notOwner
	}
	// Holders of builds without leases ask stores by order, also for limits under leases.
	var grant ratelimit.Grant
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := transport.Call(ctx, o.settings.Client, "forward request for tokens", leader.Address, PathTokens, request, &grant); err != nil {
		return ratelimit.Grant{}, api.AsError("forward request for tokens", err)
	}
	return grant, nil
}

// grantByOrder grants tokens without a lease; the mutex must be held.
func (o *Owner) grantByOrder(now time.Time, request ratelimit.TokenRequest) ratelimit.Grant {
	backup := o.isBackup(request.Tenant)
	opened := !o.order.HasBucket(request.Tenant)
	grant := o.order.HandleRequest(now, request, backup)
	if opened {
		o.logOpened(request, grant, logrus.Fields{"by_order": true, "backup": backup})
	}
	return grant
}

// isBackup reports whether a live store precedes this one in a tenant's order. In the view of a
// process that has just started, stores are missing; until it is complete, registered ones count
// as live.
func (o *Owner) isBackup(tenant string) bool {
	nodes := o.settings.Nodes()
	if clock.Since(o.startedAt) < viewCompleteAfter {
		nodes = o.settings.Stores()
	}
	for _, node := range placement.RankStores(tenant, nodes) {
		if node.ID == o.settings.Self {
			return false
		}
		if !node.Suspected && !node.Leaving {
			return true
		}
	}
	return false
}

// permit returns what is known of how a group's limits are granted. It asks the group's leader if
// nothing is, and in the background before that expires or if the claim to a tenant is due.
func (o *Owner) permit(ctx context.Context, group api.GroupID, tenant string) ratelimit.OrderPermit {
	now := clock.Now()
	o.mutex.Lock()
	permit, claimDue := o.permits[group], o.order.ClaimDue(now, tenant)
	o.mutex.Unlock()
	if !permit.Expiring(now) && !(permit.Allowed(now) && claimDue) {
		return permit
	}
	renewed := o.renewals.DoChan(fmt.Sprint(group), func() (any, error) {
		o.renewPermit(context.Background(), group)
		return nil, nil
	})
	if permit.Allowed(now) {
		return permit
	}
	select {
	case <-renewed:
	case <-ctx.Done():
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.permits[group]
}

// renewPermit asks a group's leader, or the store that it names, for a permit and claims.
func (o *Owner) renewPermit(ctx context.Context, group api.GroupID) {
	leader, known := o.settings.Leader(group)
	for range 2 {
		if !known || leader.ID == o.settings.Self {
			return
		}
		sentAt := clock.Now()
		claims := o.requestClaims(sentAt, group)
		grant, err := o.probe(ctx, group, leader, claims)
		if err == nil {
			o.applyPermit(group, leader, sentAt, claims, grant)
			return
		}
		named, _ := isNotLeader(err)
		if leader, known = o.store(named); !known {
			o.settings.Log.WithField("group", group).WithError(err).Debug("The group's leader gave no permit to grant limits by order.")
		}
	}
}

// requestClaims returns the claims to request from a group's leader.
func (o *Owner) requestClaims(now time.Time, group api.GroupID) []ratelimit.Claim {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.order.RequestClaims(now, o.belongsTo(group))
}

// belongsTo returns a function that reports whether a tenant is assigned to a group.
func (o *Owner) belongsTo(group api.GroupID) func(tenant string) bool {
	return func(tenant string) bool {
		return placement.TenantGroup(api.TenantID(tenant), o.settings.Groups) == group
	}
}

func (o *Owner) applyPermit(group api.GroupID, leader api.Node, sentAt time.Time, claims []ratelimit.Claim, grant ratelimit.Grant) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.order.ApplyClaims(sentAt, claims, grant)
	permit := o.permits[group]
	before := permit.Allowed(sentAt)
	permit.Apply(sentAt, grant)
	o.permits[group] = permit
	if after := permit.Allowed(sentAt); after != before {
		o.settings.Log.WithFields(logrus.Fields{"event": "limit_order_permit", "group": group, "leader": leader.ID, "term": grant.Epoch, "permitted": after}).
			Info("The leader changed whether this store may grant the group's limits by order.")
	}
}

// store returns a known store.
func (o *Owner) store(id api.NodeID) (api.Node, bool) {
	for _, node := range o.settings.Stores() {
		if node.ID == id {
			return node, true
		}
	}
	return api.Node{}, false
}
