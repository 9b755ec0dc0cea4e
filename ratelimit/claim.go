package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// claimTTL is how long a leader keeps a store's claim to be the first in a tenant's order.
	claimTTL = time.Second
	// claimInterval is the time between the requests for a claim that is held, and
	// claimRetryInterval between those for one that another store has.
	claimInterval      = claimTTL / 2
	claimRetryInterval = 100 * time.Millisecond
	// maxRequestedClaims bounds the size of a request. The rest is requested with the next one.
	maxRequestedClaims = 1000
)

// Claim is a store's claim to be the first in a tenant's order.
type Claim struct {
	Tenant  string `json:"tenant"`
	Refused bool   `json:"refused,omitempty"` // when last requested
}

// claimTable is what a leader knows of the stores that take themselves for the first in tenants'
// orders. It accepts at most one for each tenant.
type claimTable struct {
	// knownAt is when all stores that hold a claim have requested it from this leader.
	knownAt  time.Time
	accepted map[string]acceptedClaim // by tenant
	sweptAt  time.Time
}

type acceptedClaim struct {
	store string
	until time.Time
}

func newClaimTable(start time.Time) *claimTable {
	return &claimTable{knownAt: start.Add(claimInterval), accepted: map[string]acceptedClaim{}}
}

// request records a store's claims, and returns the tenants to which another store has one. What
// an earlier leader refused counts until that store has requested its claim.
func (c *claimTable) request(now time.Time, store string, claims []Claim) (refused []string) {
	c.sweep(now)
	for _, claim := range claims {
		other, known := c.accepted[claim.Tenant]
		known = known && now.Before(other.until)
		if known && other.store != store || !known && claim.Refused && now.Before(c.knownAt) {
			refused = append(refused, claim.Tenant)
			continue
		}
		c.accepted[claim.Tenant] = acceptedClaim{store: store, until: now.Add(claimTTL)}
	}
	return refused
}

func (c *claimTable) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < bucketTTL {
		return
	}
	c.sweptAt = now
	for tenant, claim := range c.accepted {
		if !now.Before(claim.until) {
			delete(c.accepted, tenant)
		}
	}
}

// RefusedClaims are claims that a leader did not accept.
type RefusedClaims struct {
	Tenants []string `json:"tenants"`
}

// claimState is a store's claim to one tenant.
type claimState struct {
	wantedAt     time.Time // when it was last asked for tokens as the tenant's first store
	askedAt      time.Time // when the claim was last requested
	refusedUntil time.Time // another store has the claim
}

func (s *claimState) isDue(now time.Time) bool {
	interval := claimInterval
	if now.Before(s.refusedUntil) {
		interval = claimRetryInterval
	}
	return now.Sub(s.wantedAt) < claimTTL && now.Sub(s.askedAt) >= interval
}

// claim records that this store was asked for tokens as the first in a tenant's order, and reports
// whether no other one is known to have the claim.
func (o *OrderOwner) claim(now time.Time, tenant string) bool {
	s := o.claims[tenant]
	if s == nil {
		s = &claimState{}
		o.claims[tenant] = s
	}
	s.wantedAt = now
	return !now.Before(s.refusedUntil)
}

// ClaimDue reports whether the leader of a tenant's group is to be asked for the claim to it.
func (o *OrderOwner) ClaimDue(now time.Time, tenant string) bool {
	s := o.claims[tenant]
	return s != nil && s.isDue(now)
}

// RequestClaims returns the claims of a group's tenants that are due, sorted by tenant. include
// reports whether a tenant belongs to the group.
func (o *OrderOwner) RequestClaims(now time.Time, include func(tenant string) bool) []Claim {
	var list []Claim
	for tenant, s := range o.claims {
		if s.isDue(now) && include(tenant) {
			list = append(list, Claim{Tenant: tenant, Refused: now.Before(s.refusedUntil)})
		}
	}
	slices.SortFunc(list, func(a, b Claim) int { return cmp.Compare(a.Tenant, b.Tenant) })
	list = list[:min(len(list), maxRequestedClaims)]
	for _, claim := range list {
		o.claims[claim.Tenant].askedAt = now
	}
	return list
}

// ApplyClaims applies a leader's answer to the claims that were requested at a time. A leader of a
// build without claims refuses none.
func (o *OrderOwner) ApplyClaims(sentAt time.Time, claims []Claim, grant Grant) {
	for _, claim := range claims {
		s := o.claims[claim.Tenant]
		if s == nil {
			continue
		}
		s.refusedUntil = time.Time{}
		if grant.RefusedClaims != nil && slices.Contains(grant.RefusedClaims.Tenants, claim.Tenant) {
			s.refusedUntil = sentAt.Add(orderPermitTTL) // also while no leader answers
		}
	}
}

// sweepClaims removes claims that are no longer wanted.
func (o *OrderOwner) sweepClaims(now time.Time) {
	for tenant, s := range o.claims {
		if now.Sub(s.wantedAt) >= claimTTL {
			delete(o.claims, tenant)
		}
	}
}
