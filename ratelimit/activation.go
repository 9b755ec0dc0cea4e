package ratelimit

import "time"

const (
	// orderPermitTTL is how long a store may grant by order after it asked the group's leader.
	// It outlasts an election, in which no leader answers.
	orderPermitTTL = 2 * time.Second
	// activationMargin allows for clock drift within orderPermitTTL, and for tokens granted by
	// order that are used until GrantTTL.
	activationMargin = GrantTTL + 10*time.Millisecond
	// leasesKnownFor is how long a store that was told that leases are in use does not ask
	// again.
	leasesKnownFor = time.Second
)

// Activation is the decision of a group's leader whether the group's limits are granted by order
// or under leases. Stores grant by order only with a permit of the leader. Leases start once
// every store knows them and all permits have expired, so that a tenant never has owners of
// both kinds. The caller keeps in the group's log that they have started.
//
// Its leader's lease must have started when it is created, and a leader must give permits only
// under its lease: permits of earlier leaders have then expired orderPermitTTL later.
type Activation struct {
	active bool
	at     time.Time // when leases may start; zero: not every store knows them
	fault  Fault
}

// NewActivation returns the state of a new leader. active is what the group's log says.
func NewActivation(active bool) *Activation { return &Activation{active: active} }

// Active reports whether limits are granted under leases.
func (a *Activation) Active() bool { return a.active }

// Permit returns how long a store that asks now may grant by order; 0: it may not.
func (a *Activation) Permit(now time.Time) time.Duration {
	switch {
	case a.active:
		return 0
	case a.at.IsZero():
		return orderPermitTTL
	default:
		return min(max(a.at.Sub(now)-activationMargin, 0), orderPermitTTL)
	}
}

// Update records whether every store that may grant is known to do so only under a lease or with
// a permit. It reports whether leases may start: the caller then records that in the group's log
// and calls Activate. Once it has returned true, it does so until Activate.
func (a *Activation) Update(now time.Time, supported bool) (due bool) {
	switch {
	case a.active:
		return false
	case !a.at.IsZero() && !now.Before(a.at):
		return true
	case !supported:
		a.at = time.Time{}
	case a.at.IsZero():
		a.at = now.Add(orderPermitTTL + activationMargin)
		if a.fault == FaultIgnorePermits {
			a.at = now
		}
	}
	return false
}

// Activate starts the leases.
func (a *Activation) Activate() { a.active = true }

// OrderPermit is what a store knows about how a group's limits are granted. The zero value
// permits nothing.
type OrderPermit struct {
	until       time.Time
	leasesUntil time.Time // leases are in use, and the leader need not be asked
}

// Apply takes the answer of the group's leader to a probe that was sent at a time. A leader that
// grants without an epoch knows no leases.
func (p *OrderPermit) Apply(sentAt time.Time, grant Grant) {
	switch {
	case grant.Epoch == 0:
		p.until, p.leasesUntil = sentAt.Add(orderPermitTTL), time.Time{}
	case grant.OrderFor > 0:
		p.until, p.leasesUntil = sentAt.Add(min(grant.OrderFor, orderPermitTTL)), time.Time{}
	default:
		p.until, p.leasesUntil = time.Time{}, sentAt.Add(leasesKnownFor)
	}
}

// Allowed reports whether the store may grant by order.
func (p *OrderPermit) Allowed(now time.Time) bool { return now.Before(p.until) }

// LeasesInUse reports whether limits are known to be granted under leases.
func (p *OrderPermit) LeasesInUse(now time.Time) bool { return now.Before(p.leasesUntil) }

// Expiring reports whether the leader should be asked, while Allowed or LeasesInUse may still
// hold.
func (p *OrderPermit) Expiring(now time.Time) bool {
	return p.until.Sub(now) < orderPermitTTL/2 && !p.LeasesInUse(now)
}
