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
// both kinds. They end only by an operator's decision, once all leases have expired. The caller
// keeps in the group's log whether they are in use and what the operator decided.
//
// A leader must give permits only under its leader's lease: permits of earlier leaders have then
// expired orderPermitTTL after the lease's start.
type Activation struct {
	active     bool
	byOrder    bool      // the operator's decision
	leasingEnd time.Time // since when no leases are granted, by the operator's decision
	at         time.Time // when leases may start; zero: not every store knows them
	claims     *claimTable
	fault      Fault
}

// NewActivation returns the state of a leader whose lease starts at a time. active and byOrder
// are what the group's log says.
func NewActivation(start time.Time, active, byOrder bool) *Activation {
	return &Activation{active: active, byOrder: byOrder, leasingEnd: start, claims: newClaimTable(start)}
}

// Active reports whether limits are granted under leases.
func (a *Activation) Active() bool { return a.active }

// ByOrder reports whether the operator decided that limits are granted by order. Then the owner
// must grant no leases, also while Active.
func (a *Activation) ByOrder() bool { return a.byOrder }

// SetByOrder records the operator's decision, once the group's log has it.
func (a *Activation) SetByOrder(now time.Time, byOrder bool) {
	if byOrder && !a.byOrder {
		a.leasingEnd = now
	}
	a.byOrder, a.at = byOrder, time.Time{}
}

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

// AnswerProbe returns the answer of a leader of an epoch to a store that asks how limits are
// granted: how long it may grant by order, and to which tenants another store has the claim.
func (a *Activation) AnswerProbe(now time.Time, epoch uint64, probe TokenRequest) Grant {
	grant := Grant{Epoch: epoch, OrderFor: a.Permit(now)}
	refused := a.claims.request(now, probe.Store, probe.Claims)
	if len(refused) > 0 && a.fault != FaultIgnoreClaims {
		grant.RefusedClaims = &RefusedClaims{Tenants: refused}
	}
	return grant
}

// Step is what the caller of Activation.Update has to do next.
type Step int

// Steps. StepStart and StepEnd are due until the caller has recorded in the group's log that leases
// are in use, or no more, and calls Activate or Deactivate.
const (
	StepNone Step = iota
	StepStart
	StepEnd
)

// Update records whether every store that may grant is known to do so only under a lease or with
// a permit, and returns the step that is due.
func (a *Activation) Update(now time.Time, supported bool) Step {
	switch {
	case a.active && a.byOrder && now.Sub(a.leasingEnd) >= accumulatedTTL+leaseMargin:
		return StepEnd
	case a.active || a.byOrder:
		return StepNone
	case !a.at.IsZero() && !now.Before(a.at):
		return StepStart
	case !supported:
		a.at = time.Time{}
	case a.at.IsZero():
		a.at = now.Add(orderPermitTTL + activationMargin)
		if a.fault == FaultIgnorePermits {
			a.at = now
		}
	}
	return StepNone
}

// Activate starts the leases.
func (a *Activation) Activate() { a.active = true }

// Deactivate records that leases are no longer in use.
func (a *Activation) Deactivate() { a.active, a.at = false, time.Time{} }

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
