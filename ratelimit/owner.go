package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/route"
)

const (
	// bucketTTL is how long the bucket of an idle tenant is kept. It exceeds the life of leases.
	bucketTTL = 2 * time.Minute
	// minReserveLevel is the part of a bucket that is kept for requests rather than given to
	// holders as a reserve.
	minReserveLevel = 0.5
)

// Owner keeps the token buckets of tenants. It is not safe for concurrent use.
type Owner struct {
	tolerance    Tolerance
	epoch        uint64
	start        time.Time
	registry     *registry
	buckets      map[string]*bucket
	recentGrants grantCache
	sweptAt      time.Time
	stopped      bool // grants no leases
	// soleUntil is until when no other process is known to grant the same tenants' tokens.
	soleUntil time.Time
	fault     Fault
}

// Fault is a defect that tests inject.
type Fault string

// Faults that tests inject.
const (
	FaultNone               Fault = ""
	FaultNewOwnerFullBucket Fault = "a new owner grants the burst"
	FaultForgetLeases       Fault = "a new owner ignores the leases of earlier ones"
	FaultRefillFully        Fault = "an owner grants the rate beside the leases"
	FaultCountDuplicates    Fault = "each copy of a request takes tokens"
	FaultIgnorePermits      Fault = "leases start while stores may grant by order"
	FaultIgnoreBuilds       Fault = "leases start before every store knows them"
	FaultIgnoreLater        Fault = "stores without leases are ignored once leases are in use"
	FaultIgnoreClaims       Fault = "each store that takes itself for the first grants the whole limit"
)

// bucket is the token bucket of one tenant. Its level is negative after more tokens were spent
// elsewhere than it held.
type bucket struct {
	limit    route.RateLimit
	version  int64
	level    float64
	promised float64 // tokens that rejected requests will retry for
	at       time.Time
	leases   *leaseTable // nil in an OrderOwner
	// sharedUntil is until when another process is known to grant the tenant's tokens.
	sharedUntil time.Time
}

// NewOwner returns an Owner without buckets that grants from start on, and in full while Confirm
// holds. The caller guarantees that epoch is larger than those of all earlier owners of the same
// tenants, that none of them grants after start, and that at least MinTerm lies between the
// starts of two owners. holders are all that were registered with earlier owners and not
// unregistered since.
func NewOwner(tolerance Tolerance, epoch uint64, start time.Time, holders []string) *Owner {
	return &Owner{
		tolerance: tolerance, epoch: epoch, start: start, registry: newRegistry(start, holders), buckets: map[string]*bucket{},
		recentGrants: grantCache{grants: map[requestID]Grant{}},
	}
}

// MinTerm is the shortest time between the starts of two owners of a tenant that callers of
// NewOwner have to guarantee.
func MinTerm() time.Duration { return minOwnerTerm }

// StopLeasing makes the owner grant no more leases, and withdraw those of holders that ask. All
// have expired a minute later.
func (o *Owner) StopLeasing() { o.stopped = true }

// ResumeLeasing makes the owner grant leases again.
func (o *Owner) ResumeLeasing() { o.stopped = false }

// Confirm records evidence that until a time no process but this owner, and holders under its
// leases, grants the tokens of its tenants. Without it the owner may be beside one that grants
// the whole limit: it grants no leases, and only as much as fits into the tolerance beside that.
func (o *Owner) Confirm(now, until time.Time) {
	if now.After(o.soleUntil) {
		for _, b := range o.buckets {
			o.refill(b, now) // what has accumulated without evidence
		}
		if now.After(o.start) {
			o.start = now
		}
	}
	o.soleUntil = until
}

// Share records that until a time another process grants the tokens of a request's tenant.
func (o *Owner) Share(now, until time.Time, request TokenRequest) {
	b := o.bucket(request.Tenant, request.Limit, request.Version)
	o.refill(b, now)
	b.sharedUntil = until
}

// isSole reports whether no other process is known to grant the tokens of a bucket.
func (o *Owner) isSole(b *bucket, now time.Time) bool {
	return now.Before(o.soleUntil) && !now.Before(b.sharedUntil)
}

// LeasedTokens returns, for each tenant with leases that may be in force, the tokens that they
// accumulate in a period.
func (o *Owner) LeasedTokens(now time.Time, period time.Duration) []TokenRequest {
	var list []TokenRequest
	for tenant, b := range o.buckets {
		o.refill(b, now)
		b.leases.sweep(now)
		if n := int(math.Ceil(b.leases.leased() * b.limit.Rate * period.Seconds())); n > 0 {
			list = append(list, TokenRequest{Tenant: tenant, Limit: b.limit, Version: b.version, SpentElsewhere: n})
		}
	}
	slices.SortFunc(list, func(a, b TokenRequest) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}

// sweepBuckets removes the buckets of idle tenants, at most once per bucketTTL.
func sweepBuckets(buckets map[string]*bucket, sweptAt *time.Time, now time.Time) {
	if now.Sub(*sweptAt) < bucketTTL {
		return
	}
	*sweptAt = now
	for tenant, b := range buckets {
		if now.Sub(b.at) > bucketTTL {
			delete(buckets, tenant)
		}
	}
}

// HandleRequest answers a request for tokens. A duplicate of a recent request gets the same
// grant and takes no tokens. A holder that is not registered gets no lease.
func (o *Owner) HandleRequest(now time.Time, request TokenRequest) Grant {
	sweepBuckets(o.buckets, &o.sweptAt, now)
	if request.Holder == "" || o.fault == FaultCountDuplicates {
		return o.grant(now, request, false)
	}
	id := requestID{holder: request.Holder, tenant: request.Tenant, sequence: request.Sequence}
	if grant, known := o.recentGrants.lookup(now, id); known {
		return grant
	}
	grant := o.grant(now, request, o.see(now, request))
	o.recentGrants.add(now, id, grant)
	return grant
}

// see records that a holder sent a request and reports whether it may get a lease: not if it is
// not registered or spends none, or if another process of the holder has sent one with a larger
// instance. The sender may then be that process's predecessor, or a successor whose clock was
// set back.
func (o *Owner) see(now time.Time, request TokenRequest) (mayLease bool) {
	state := o.registry.holders[request.Holder]
	if state == nil || request.Instance == 0 || request.Instance < state.instance {
		return false
	}
	state.seenAt = now
	if request.Instance > state.instance {
		state.instance = request.Instance
		o.removeLeases(now, request.Holder)
	}
	if request.CompleteFor == o.epoch {
		for _, lease := range request.Leases {
			b := o.bucket(lease.Tenant, lease.Limit, lease.Version)
			o.refill(b, now)
			b.leases.report(now, request.Holder, lease.Lease, o.scale(lease.Lease, lease.Limit, b.limit), o.epoch)
		}
		o.registry.hear(now, request.Holder)
	}
	return true
}

// removeLeases removes the leases of a holder whose process has ended.
func (o *Owner) removeLeases(now time.Time, holder string) {
	for _, b := range o.buckets {
		o.refill(b, now)
		b.leases.remove(holder)
	}
}

// IsRegistered reports whether a holder is registered. The caller should register those that
// send requests with other owners to come, then call Register.
func (o *Owner) IsRegistered(holder string) bool { return o.registry.holders[holder] != nil }

// Register allows leases for a holder.
func (o *Owner) Register(now time.Time, holder string) { o.registry.register(now, holder) }

// ExpiredHolders returns the registered holders without leases, sorted. The caller may call
// Unregister for them and then remove their registrations.
func (o *Owner) ExpiredHolders(now time.Time) []string { return o.registry.expired(now) }

// Unregister ends the registration of an expired holder.
func (o *Owner) Unregister(now time.Time, holder string) { o.registry.unregister(now, holder) }

// HasBucket reports whether the Owner keeps a bucket for the tenant.
func (o *Owner) HasBucket(tenant string) bool { return o.buckets[tenant] != nil }

func (o *Owner) grant(now time.Time, request TokenRequest, mayLease bool) Grant {
	b := o.bucket(request.Tenant, request.Limit, request.Version)
	o.refill(b, now)
	b.leases.sweep(now)
	if mayLease && b.leases.isStale(request) {
		return Grant{Epoch: o.epoch, Stale: true, Level: b.level}
	}
	b.level -= float64(max(request.SpentElsewhere, 0))
	grant := Grant{Epoch: o.epoch, Tokens: max(min(request.Tokens, int(math.Floor(b.level))), 0)}
	b.level -= float64(grant.Tokens)
	if mayLease {
		grant.Unheard = !o.registry.holders[request.Holder].heard
		o.lease(now, b, request, &grant)
	}
	if rejected := request.Tokens - grant.Tokens; grant.Tokens == 0 && rejected > 0 {
		b.promised += float64(rejected)
		share := max(1-b.leases.leased(), 1-maxLeased)
		if !o.isSole(b, now) {
			share, _ = o.tolerance.beside(b.limit)
			share = max(share, minRetryShare)
		}
		grant.RetryAfter = time.Duration((b.promised - b.level) / (b.limit.Rate * share) * float64(time.Second))
	}
	grant.Level = b.level
	return grant
}

// lease renews the holder's lease, with a token in reserve if the bucket is well filled.
func (o *Owner) lease(now time.Time, b *bucket, request TokenRequest, grant *Grant) {
	var budget budget
	if !o.stopped && o.isSole(b, now) {
		budget = o.tolerance.budget(b.limit)
	}
	var scaled Lease
	if request.Lease != nil {
		scaled = o.scale(*request.Lease, request.Limit, b.limit)
	}
	grant.Lease = b.leases.renew(now, request, scaled, o.epoch, budget)
	if grant.Lease != nil && (request.Lease == nil || request.Lease.Level < 1) && b.level >= minReserveLevel*budget.capacity+1 {
		grant.Reserve = 1
		b.level--
	}
}

// scale returns a lease that was granted under one limit as it counts under another.
func (o *Owner) scale(lease Lease, from, to route.RateLimit) Lease {
	share, depth := o.tolerance.leaseScale(from, to)
	return Lease{Epoch: lease.Epoch, Share: share * lease.Share, Depth: depth * lease.Depth}
}

func (o *Owner) bucket(tenant string, limit route.RateLimit, version int64) *bucket {
	b := o.buckets[tenant]
	if b == nil {
		budget := o.tolerance.budget(limit)
		b = &bucket{limit: limit, version: version, at: o.start, level: budget.startLevel, leases: newLeaseTable(budget)}
		switch o.fault {
		case FaultNewOwnerFullBucket:
			b.level = budget.capacity
		case FaultForgetLeases:
			b.leases.inheritedShare, b.leases.inheritedDepth = 0, 0
		}
		o.buckets[tenant] = b
	}
	if version > b.version {
		b.limit, b.version = limit, version
	}
	return b
}

// refill adds the tokens since the last refill: the rate less the share of all leases that may
// have been in force.
func (o *Owner) refill(b *bucket, now time.Time) {
	if until := o.registry.sharesUntil; b.at.Before(until) && until.Before(now) {
		o.addTokens(b, until)
	}
	b.leases.expireInherited(b.at, o.registry)
	for _, until := range []time.Time{o.soleUntil, b.sharedUntil} {
		if b.at.Before(until) && until.Before(now) {
			o.addTokens(b, until)
		}
	}
	o.addTokens(b, now)
	b.leases.expireInherited(now, o.registry)
}

func (o *Owner) addTokens(b *bucket, now time.Time) {
	share, capacity := 1-b.leases.leased(), o.tolerance.budget(b.limit).capacity
	if o.fault == FaultRefillFully {
		share = 1
	}
	if !o.isSole(b, b.at) {
		besideShare, besideCapacity := o.tolerance.beside(b.limit)
		share, capacity = min(share, besideShare), min(capacity, besideCapacity)
	}
	added := share * b.limit.Rate * max(now.Sub(b.at), 0).Seconds()
	if now.After(b.at) {
		b.at = now
	}
	b.level = min(b.level+added, capacity)
	b.promised = max(b.promised-added, 0)
}
