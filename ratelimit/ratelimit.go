// Package ratelimit enforces a rate limit per tenant over all processes that accept requests,
// the holders. At any time at most one process is the owner of a tenant and keeps its token
// bucket; a request runs only with a token. The owner leases shares of the rate to holders,
// which spend them without asking, also while no owner answers; for all further requests a
// holder asks the owner for tokens.
//
// Invariant: in any window at most as many requests of a tenant run as its Tolerance allows,
// whatever the processes know of each other, and whichever messages are lost, late or
// duplicated. It holds since
//
//   - the shares of all leases that may be in force, including those of earlier owners, and the
//     share at which the owner's bucket refills add up to at most one;
//   - the capacity of the owner's bucket, the depths of all leases that may be in force, and
//     the tokens that may run in a later window than they were granted in are together within
//     the burst and the tolerance (see Tolerance.budget);
//   - owners don't overlap: each grants from a time after which no earlier one grants;
//   - an owner grants in full only while it has evidence that no store grants by order beside
//     it (see Owner.Confirm), and otherwise what such a store leaves of the tolerance.
//
// It relies on clocks whose rates differ by at most maxClockDrift; their readings do not matter.
//
// The package does no I/O; callers pass in the time.
package ratelimit

import (
	"fmt"
	"slices"
	"time"

	"github.com/dykewing/dykewing/route"
)

const (
	// GrantTTL is how long after it was requested a token may be used, for the request that it
	// was granted for or, if that one did not run, for another.
	GrantTTL = 100 * time.Millisecond
	// minOwnerTerm is the shortest time between the starts of two owners of a tenant; see
	// NewOwner.
	minOwnerTerm = 300 * time.Millisecond
	// maxClockDrift is the largest difference between the rates of two clocks, as a fraction.
	maxClockDrift = 0.002
	// leaseDepthFraction is the fraction of the free slack that may accumulate in leases. The
	// rest lets the owner's bucket admit clustered requests.
	leaseDepthFraction = 0.75
	// maxLeased is the largest share of the rate that all leases of a tenant may have together.
	// A new owner starts with the rest.
	maxLeased = 0.5
	// fullLeaseRate is the rate of a limit, in tokens per second for each token of depth, from
	// which on maxLeased applies. At a low rate holders rarely ask, so that shares that they
	// don't need would not be reassigned for long.
	fullLeaseRate = 1.8
)

// Tolerance is the excess over a limit that is tolerated in any window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // fraction of what the limit allows in a window
	Allowance float64 // requests
}

// Bound returns the largest number of requests that may run in any window under a limit.
func (t Tolerance) Bound(limit route.RateLimit) float64 {
	return (limit.Rate*t.Window.Seconds()+limit.Burst)*(1+t.Overshoot) + t.Allowance
}

// slack returns the number of tolerated requests above the limit itself.
func (t Tolerance) slack(limit route.RateLimit) float64 {
	return t.Bound(limit) - limit.Rate*t.Window.Seconds() - limit.Burst
}

// budget divides the tokens that may be spent in a window beyond the rate.
type budget struct {
	capacity   float64 // of the owner's bucket, at least 1
	depth      float64 // of all leases of the tenant together
	share      float64 // of the rate, of all leases together
	startLevel float64 // of a new owner's bucket
}

// budget returns the division for a limit. A tenant whose rate is below one request per window
// gets a first token from each new owner, which otherwise would reject it for minutes.
func (t Tolerance) budget(limit route.RateLimit) budget {
	free := t.slack(limit) - limit.Rate*(GrantTTL.Seconds()+maxClockDrift*t.Window.Seconds())
	var b budget
	if limit.Rate*t.Window.Seconds() < 1 {
		b.startLevel = 1
		free -= t.Window.Seconds() / minOwnerTerm.Seconds()
	}
	b.depth = max(leaseDepthFraction*free, 0)
	b.capacity = max(limit.Burst+free-b.depth, 1)
	b.share = maxLeased * min(limit.Rate/max(fullLeaseRate*b.depth, 1), 1)
	return b
}

// beside returns the share of the rate and the capacity of a bucket with which an owner may grant
// beside a store that grants the whole limit by order: what that store leaves of the slack.
func (t Tolerance) beside(limit route.RateLimit) (share, capacity float64) {
	left := (1 - orderSlackShare) * t.slack(limit)
	perWindow := limit.Rate * t.Window.Seconds()
	share = min(max(left-1, 0)/perWindow, backupShare)
	return share, max(left-share*perWindow, 1)
}

// leaseScale returns the factors, at most 1, by which the share and depth of a lease shrink when
// the limit changes, so that all leases together stay within the budget of the new limit.
func (t Tolerance) leaseScale(from, to route.RateLimit) (share, depth float64) {
	before, after := t.budget(from), t.budget(to)
	return shrink(before.share, after.share), shrink(before.depth, after.depth)
}

func shrink(before, after float64) float64 {
	if after >= before {
		return 1
	}
	return after / before
}

// TokenRequest is a holder's request for tokens and for a new lease.
type TokenRequest struct {
	Tenant  string          `json:"tenant"`
	Limit   route.RateLimit `json:"limit"`
	Version int64           `json:"version"` // version of the configuration with the limit
	Tokens  int             `json:"tokens"`  // wanted
	// SpentElsewhere is the number of tokens that the holder has spent without this owner since it
	// last reported them. Holders with leases spend none.
	SpentElsewhere int `json:"elsewhere,omitempty"`
	// Holder and Sequence identify the request, so that duplicates over several paths count
	// once. Sequence grows with each request of a holder, also across restarts. Without a
	// Holder every copy counts and no lease is granted.
	Holder   string `json:"holder,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Instance identifies the holder's process; it grows with each start. 0: it spends no leases.
	Instance uint64 `json:"instance,omitempty"`
	// Demand is the tenant's recent rate of requests at the holder, per second.
	Demand float64 `json:"demand,omitempty"`
	// Lease is the one that the holder has; nil: none. It is replaced by that of the Grant.
	Lease *Lease `json:"lease,omitempty"`
	// Leases are all other leases that the holder has in the owner's domain, if CompleteFor is
	// the owner's epoch. From that request on the holder accepts no lease of earlier epochs.
	Leases      []HeldLease `json:"leases,omitempty"`
	CompleteFor uint64      `json:"complete_for,omitempty"`
	// Probe asks only how limits are granted. A store that does not own them answers that it is
	// not the leader, or, if it knows no leases, with a Grant without an Epoch. Tokens is 0.
	Probe bool `json:"probe,omitempty"`
	// Store is, in a probe, the sender, and Claims those to be the first in tenants' orders.
	Store  string  `json:"store,omitempty"`
	Claims []Claim `json:"claims,omitempty"`
}

// HeldLease is the lease of a tenant that a holder reports.
type HeldLease struct {
	Tenant  string          `json:"tenant"`
	Limit   route.RateLimit `json:"limit"`
	Version int64           `json:"version"`
	Lease   Lease           `json:"lease"`
}

// Validate checks the fields of a request. An Owner must be given only valid ones.
func (r TokenRequest) Validate() error {
	if r.Tenant == "" || r.Tokens < 0 || r.SpentElsewhere < 0 || r.Demand < 0 || !r.Limit.Bounded() || r.Limit.Burst < 0 {
		return fmt.Errorf("tenant %q, %d tokens, %d elsewhere, demand %g, limit %g and %g", r.Tenant, r.Tokens, r.SpentElsewhere, r.Demand, r.Limit.Rate, r.Limit.Burst)
	}
	leases := r.Leases
	if r.Lease != nil {
		leases = append(slices.Clone(leases), HeldLease{Tenant: r.Tenant, Limit: r.Limit, Lease: *r.Lease})
	}
	for _, each := range leases {
		if l := each.Lease; each.Tenant == "" || !each.Limit.Bounded() || each.Limit.Burst < 0 || l.Share < 0 || l.Share > 1 || l.Depth < 0 {
			return fmt.Errorf("tenant %q, limit %g and %g, lease of share %g and depth %g", each.Tenant, each.Limit.Rate, each.Limit.Burst, l.Share, l.Depth)
		}
	}
	return nil
}

// Grant is the response to a request for tokens.
type Grant struct {
	Tokens int `json:"tokens"`
	// RetryAfter is the delay until a token is available for the next request; 0 while tokens
	// are left.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	Level      float64       `json:"level"` // tokens left
	// Epoch of the owner; 0: granted by order.
	Epoch uint64 `json:"epoch,omitempty"`
	// OrderFor is, in the answer to a probe, how long the sender may grant by order.
	OrderFor time.Duration `json:"order_for,omitempty"`
	// RefusedClaims are, in the answer to a probe, those to tenants to which another store has the
	// claim; nil: none.
	RefusedClaims *RefusedClaims `json:"refused_claims,omitempty"`
	Lease         *Lease         `json:"lease,omitempty"`
	// Reserve is the number of tokens, 0 or 1, to keep under the lease.
	Reserve int `json:"reserve,omitempty"`
	// Unheard asks the holder to report all its leases with the next request.
	Unheard bool `json:"unheard,omitempty"`
	// Stale is set if a later request of the holder has been answered; the grant is empty and
	// must not be applied.
	Stale bool `json:"stale,omitempty"`
}
