package ratelimit

import (
	"math"
	"time"
)

const (
	// backupShare is the share of the rate that a store grants by order while it knows of a
	// live primary owner: the holders that ask it may be those that can't reach the primary,
	// which grants the whole rate to the others. With half of the rate, the bound of 1,287 was
	// exceeded by 212 where half of 50 holders were cut off from a busy tenant's primary for 4 s.
	backupShare = 0.1
	// minRetryShare bounds the delays after which rejected requests are retried.
	minRetryShare = 0.01
	// orderSlackShare is the share of the slack that a bucket by order holds above the burst, and
	// with which it starts. The rest covers tokens in flight and those that two stores grant
	// while the primary changes.
	orderSlackShare = 0.25
)

// OrderOwner grants the tokens of tenants by order: each store grants to the holders that ask it,
// and they ask the first live one in placement order. Builds without leases grant only so. A store
// that takes itself for the first claims the tenant from the group's leader, which refuses all
// but one, so that processes that differ about the first store don't multiply the limit.
// It is not safe for concurrent use.
type OrderOwner struct {
	tolerance    Tolerance
	buckets      map[string]*bucket
	recentGrants grantCache
	claims       map[string]*claimState // by tenant
	sweptAt      time.Time
}

// NewOrderOwner returns an OrderOwner without buckets.
func NewOrderOwner(tolerance Tolerance) *OrderOwner {
	return &OrderOwner{tolerance: tolerance, buckets: map[string]*bucket{}, recentGrants: grantCache{grants: map[requestID]Grant{}}, claims: map[string]*claimState{}}
}

// HandleRequest answers a request for tokens without a lease. backup reports whether this process
// knows of a live store that precedes it in the tenant's order. A duplicate of a recent request
// gets the same grant and takes no tokens.
func (o *OrderOwner) HandleRequest(now time.Time, request TokenRequest, backup bool) Grant {
	if now.Sub(o.sweptAt) >= bucketTTL {
		o.sweepClaims(now)
	}
	sweepBuckets(o.buckets, &o.sweptAt, now)
	if request.Holder == "" {
		return o.grant(now, request, backup)
	}
	id := requestID{holder: request.Holder, tenant: request.Tenant, sequence: request.Sequence}
	if grant, known := o.recentGrants.lookup(now, id); known {
		return grant
	}
	grant := o.grant(now, request, backup)
	o.recentGrants.add(now, id, grant)
	return grant
}

// HasBucket reports whether a bucket of the tenant is kept.
func (o *OrderOwner) HasBucket(tenant string) bool { return o.buckets[tenant] != nil }

func (o *OrderOwner) grant(now time.Time, request TokenRequest, backup bool) Grant {
	b := o.bucket(now, request)
	backup = backup || !o.claim(now, request.Tenant)
	share, capacity := 1.0, max(b.limit.Burst+orderSlackShare*o.tolerance.slack(b.limit), 1)
	if backup {
		// No burst: the primary owner grants that, and a backup that took over with another
		// one would add it.
		share, capacity = o.tolerance.beside(b.limit)
	}
	added := share * b.limit.Rate * max(now.Sub(b.at), 0).Seconds()
	b.at = now
	b.level = min(b.level+added, capacity) - float64(max(request.SpentElsewhere, 0))
	b.promised = max(b.promised-added, 0)
	grant := Grant{Tokens: max(min(request.Tokens, int(math.Floor(b.level))), 0)}
	b.level -= float64(grant.Tokens)
	if rejected := request.Tokens - grant.Tokens; grant.Tokens == 0 && rejected > 0 {
		b.promised += float64(rejected)
		grant.RetryAfter = time.Duration((b.promised - b.level) / (max(share, minRetryShare) * b.limit.Rate) * float64(time.Second))
	}
	grant.Level = b.level
	return grant
}

func (o *OrderOwner) bucket(now time.Time, request TokenRequest) *bucket {
	b := o.buckets[request.Tenant]
	if b == nil {
		b = &bucket{limit: request.Limit, version: request.Version, at: now, level: max(orderSlackShare*o.tolerance.slack(request.Limit), 1)}
		o.buckets[request.Tenant] = b
	}
	if request.Version > b.version {
		b.limit, b.version = request.Limit, request.Version
	}
	return b
}
