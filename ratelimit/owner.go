package ratelimit

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/route"
)

const (
	// bucketLife is how long a bucket that nobody asks for is kept.
	bucketLife = time.Minute
	// deputyShare of the rate is given by a process that knows of an owner before it:
	// the holders that ask it may be those that can't reach that one, which gives the
	// whole rate to the others. Half of the rate passed the bound by 212 of 1,287 where
	// half of 50 holders were cut from a hot tenant's owner for 4 s (simulated).
	deputyShare = 0.1
)

// Owner keeps the buckets of the tenants that ask it.
type Owner struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	answered  answered
	sweptAt   time.Time
	fault     Fault
}

// Fault is a planted defect; tests only.
type Fault string

// The planted defects.
const (
	FaultNone           Fault = ""
	FaultNewOwnerBursts Fault = "a new owner gives the burst"
	FaultElsewhereFree  Fault = "what was spent elsewhere does not count"
	FaultCopiesCount    Fault = "each copy of a question takes tokens"
)

// bucket holds a tenant's tokens. Its level is negative after more was spent elsewhere
// than it had.
type bucket struct {
	limit    route.Limit
	version  int64
	level    float64
	promised float64 // tokens that those who were refused were told to come back for
	at       time.Time
}

// NewOwner has no buckets.
func NewOwner(tolerance Tolerance) *Owner {
	return &Owner{tolerance: tolerance, buckets: map[string]*bucket{}, answered: answered{grants: map[question]Grant{}}}
}

// sweep forgets buckets that nobody asks for.
func (o *Owner) sweep(now time.Time) {
	if now.Sub(o.sweptAt) < bucketLife {
		return
	}
	o.sweptAt = now
	for tenant, b := range o.buckets {
		if now.Sub(b.at) > bucketLife {
			delete(o.buckets, tenant)
		}
	}
}

// Step answers an ask; deputy: another process is the tenant's owner as far as this
// one knows. A copy of a question that was answered lately has the same answer and takes
// nothing.
func (o *Owner) Step(now time.Time, ask Ask, deputy bool) Grant {
	o.sweep(now)
	name := question{holder: ask.Holder, tenant: ask.Tenant, sequence: ask.Sequence}
	named := ask.Holder != "" && o.fault != FaultCopiesCount
	if named {
		if grant, known := o.answered.find(now, name); known {
			return grant
		}
	}
	grant := o.grant(now, ask, deputy)
	if named {
		o.answered.keep(now, name, grant)
	}
	return grant
}

func (o *Owner) grant(now time.Time, ask Ask, deputy bool) Grant {
	b := o.bucket(now, ask)
	share := 1.0
	if deputy {
		share = deputyShare
	}
	b.refill(now, share, o.capacity(b.limit))
	if o.fault != FaultElsewhereFree {
		b.level -= float64(max(ask.Elsewhere, 0))
	}
	grant := Grant{Tokens: max(min(ask.Tokens, int(math.Floor(b.level))), 0)}
	b.level -= float64(grant.Tokens)
	if refused := ask.Tokens - grant.Tokens; grant.Tokens == 0 && refused > 0 {
		b.promised += float64(refused)
		grant.RetryAfter = time.Duration((b.promised - b.level) / (share * b.limit.Rate) * float64(time.Second))
	}
	grant.Level = b.level
	return grant
}

func (o *Owner) bucket(now time.Time, ask Ask) *bucket {
	b := o.buckets[ask.Tenant]
	if b == nil {
		b = &bucket{limit: ask.Limit, version: ask.Version, at: now, level: max(slackPart*o.tolerance.slack(ask.Limit), 1)}
		if o.fault == FaultNewOwnerBursts {
			b.level = o.capacity(ask.Limit)
		}
		o.buckets[ask.Tenant] = b
	}
	if ask.Version > b.version {
		b.limit, b.version = ask.Limit, ask.Version
	}
	return b
}

// capacity is the most that a bucket holds.
func (o *Owner) capacity(limit route.Limit) float64 {
	return max(limit.Burst+slackPart*o.tolerance.slack(limit), 1)
}

func (b *bucket) refill(now time.Time, share, capacity float64) {
	added := share * b.limit.Rate * max(now.Sub(b.at), 0).Seconds()
	b.at = now
	b.level = min(b.level+added, capacity)
	b.promised = max(b.promised-added, 0)
}
