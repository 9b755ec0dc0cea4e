package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dykewing/dykewing/route"
)

const (
	// Bounds of the backoff of an owner or peer that does not answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxRejectionTime limits how long requests are rejected on the basis of one grant.
	maxRejectionTime = 100 * time.Millisecond
	// MaxPeersAsked is the number of other holders to ask for a token while no owner answers.
	MaxPeersAsked = 3
	// tenantTTL is how long the state of an idle tenant is kept. It exceeds the life of leases.
	tenantTTL = 2 * time.Minute
	// minSpentRate is the rate of a lease, in tokens per second, from which on its tokens are
	// spent before the owner is asked. Those of a slower one are kept for when no owner answers.
	minSpentRate = 0.1
	// demandTimeConstant is the time constant of the moving average of a tenant's request rate.
	demandTimeConstant = 5 * time.Second
)

// Holder admits requests at one process within the leases and tokens that owners grant to it.
// It is not safe for concurrent use.
type Holder struct {
	settings HolderSettings
	tenants  map[string]*tenantState
	domains  map[string]*domainState
	backoffs map[string]*backoff
	sweptAt  time.Time
}

// HolderSettings are the parameters of NewHolder.
type HolderSettings struct {
	Tolerance Tolerance
	ID        string
	Instance  uint64 // grows with each start of the holder's process
	// Domain returns the domain of a tenant. All tenants of a domain have the same owner.
	Domain func(tenant string) string
}

// domainState is what the holder knows of the owner of a domain.
type domainState struct {
	epoch  uint64 // newest known; 0: none
	report bool   // requests report all leases
	leased bool   // owners grant under leases, as far as is known
}

type backoff struct {
	until    time.Time
	duration time.Duration
}

// tenantState is the state of one tenant at a holder.
type tenantState struct {
	lease       *Lease
	leaseLimit  route.RateLimit // under which the lease was granted
	version     int64           // of the configuration with leaseLimit
	leasedAt    time.Time       // when the lease was requested
	level       float64         // tokens accumulated under the lease
	levelAt     time.Time
	returned    []time.Time // times of the requests for the returned tokens, oldest first
	rejectUntil time.Time
	nextRetryAt time.Time     // retry time of the next rejected request
	spacing     time.Duration // between retry times
	// elsewhere is, for each store that did not answer, what others have granted by order since.
	elsewhere map[string]spending
	demand    float64 // moving average before the last request, requests per second
	usedAt    time.Time
}

// NewHolder returns a Holder without leases.
func NewHolder(settings HolderSettings) *Holder {
	return &Holder{settings: settings, tenants: map[string]*tenantState{}, domains: map[string]*domainState{}, backoffs: map[string]*backoff{}}
}

// Decision is the decision of a Holder about a request.
type Decision int

// Decisions about a request.
const (
	Admit    Decision = iota + 1
	Reject            // the tenant is over its limit
	AskOwner          // the owner has to be asked for tokens
)

// Verdict is a Decision with its details.
type Verdict struct {
	Decision   Decision
	RetryAfter time.Duration // of Reject: delay after which to retry
	// TokenAt is, for Admit, the time to pass to ReturnToken if the request does not run.
	TokenAt time.Time
}

// Decide decides about an arriving request of a tenant under its limit.
func (h *Holder) Decide(now time.Time, tenant string, limit route.RateLimit) Verdict {
	h.sweep(now)
	t := h.tenant(tenant)
	t.updateDemand(now)
	if at, ok := h.take(now, t, limit, minSpentRate); ok {
		return Verdict{Decision: Admit, TokenAt: at}
	}
	if now.Before(t.rejectUntil) {
		return Verdict{Decision: Reject, RetryAfter: t.nextRetryAfter(now)}
	}
	return Verdict{Decision: AskOwner}
}

// DecideLocally decides about a request for which no owner answered.
func (h *Holder) DecideLocally(now time.Time, tenant string, limit route.RateLimit) Verdict {
	if at, ok := h.take(now, h.tenant(tenant), limit, 0); ok {
		return Verdict{Decision: Admit, TokenAt: at}
	}
	return Verdict{Decision: Reject}
}

// take takes a returned token, or one that accumulated under a lease of at least minRate.
func (h *Holder) take(now time.Time, t *tenantState, limit route.RateLimit, minRate float64) (tokenAt time.Time, ok bool) {
	for len(t.returned) > 0 {
		tokenAt = t.returned[0]
		t.returned = t.returned[1:]
		if now.Sub(tokenAt) < GrantTTL {
			return tokenAt, true
		}
	}
	h.accumulate(now, t, limit)
	if t.level < 1 || t.lease.Share*limit.Rate < minRate {
		return time.Time{}, false
	}
	t.level--
	return now, true
}

// LeaseEvenly leases an even part of a limit to this holder, in a fleet without owners. It is
// the only lease that relies on the number of holders: if it is too low, their parts add up to
// more than the limit.
func (h *Holder) LeaseEvenly(now time.Time, tenant string, limit route.RateLimit, holders int) {
	t := h.tenant(tenant)
	h.accumulate(now, t, limit)
	if t.lease == nil {
		t.level, t.levelAt = 0, now
	}
	part, budget := 1/float64(max(holders, 1)), h.settings.Tolerance.budget(limit)
	t.lease = &Lease{Epoch: math.MaxUint64, Share: part, Depth: max((budget.capacity+budget.depth)*part, 1)}
	t.leaseLimit, t.leasedAt = limit, now
}

// GiveTokens gives up to n of the tokens that accumulated under the lease to another holder,
// for which no owner answered. They may be used until GrantTTL after that holder asked. limit is
// the one that the other holder knows; a lower one than that of the lease counts.
func (h *Holder) GiveTokens(now time.Time, tenant string, limit route.RateLimit, n int) int {
	t := h.tenants[tenant]
	if t == nil {
		return 0
	}
	if limit.Rate > t.leaseLimit.Rate || limit.Burst > t.leaseLimit.Burst {
		limit = t.leaseLimit
	}
	h.accumulate(now, t, limit)
	given := max(min(n, int(t.level)), 0)
	t.level -= float64(given)
	return given
}

// accumulate adds the tokens of the lease since the last call. A change of the limit shrinks the
// lease.
func (h *Holder) accumulate(now time.Time, t *tenantState, limit route.RateLimit) {
	if t.lease == nil {
		return
	}
	if now.Sub(t.leasedAt) >= accumulatedTTL {
		t.lease, t.level = nil, 0
		return
	}
	if limit != t.leaseLimit {
		share, depth := h.settings.Tolerance.leaseScale(t.leaseLimit, limit)
		t.lease = &Lease{Epoch: t.lease.Epoch, Share: share * t.lease.Share, Depth: depth * t.lease.Depth}
		t.leaseLimit = limit
	}
	until := now
	if end := t.leasedAt.Add(leaseTTL); end.Before(now) {
		until = end
	}
	t.level = min(t.level+t.lease.Share*limit.Rate*max(until.Sub(t.levelAt), 0).Seconds(), t.lease.Depth)
	t.levelAt = now
}

// NewRequest returns the request to send to the tenant's owner for the given number of waiting
// requests. The caller sets its Sequence.
func (h *Holder) NewRequest(now time.Time, tenant string, limit route.RateLimit, version int64, waiting int) TokenRequest {
	t := h.tenant(tenant)
	h.accumulate(now, t, limit)
	request := TokenRequest{
		Tenant: tenant, Limit: limit, Version: version, Tokens: waiting, Holder: h.settings.ID, Instance: h.settings.Instance, Demand: t.demand, Lease: t.reportedLease(),
	}
	domain := h.settings.Domain(tenant)
	if d := h.domain(domain); d.report {
		request.CompleteFor, request.Leases = d.epoch, h.otherLeases(now, domain, tenant)
	}
	return request
}

// otherLeases returns the leases of all other tenants of a domain, sorted by tenant.
func (h *Holder) otherLeases(now time.Time, domain, except string) []HeldLease {
	var list []HeldLease
	for name, t := range h.tenants {
		if name == except || t.lease == nil || now.Sub(t.leasedAt) >= accumulatedTTL || h.settings.Domain(name) != domain {
			continue
		}
		list = append(list, HeldLease{Tenant: name, Limit: t.leaseLimit, Version: t.version, Lease: *t.lease})
	}
	slices.SortFunc(list, func(a, b HeldLease) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}

func (t *tenantState) reportedLease() *Lease {
	if t.lease == nil {
		return nil
	}
	lease := *t.lease
	lease.Level = t.level
	return &lease
}

// ApplyGrant applies the owner's response to a request that was sent at the given time for a
// number of waiting requests, and returns how many of them are admitted. It returns false if
// the response is too late to be used; nobody may run with its tokens then.
func (h *Holder) ApplyGrant(now, sentAt time.Time, owner string, request TokenRequest, grant Grant, waiting int) (admitted int, ok bool) {
	h.MarkResponsive(owner)
	if grant.Stale || now.Sub(sentAt) >= GrantTTL {
		return 0, false
	}
	t := h.tenant(request.Tenant)
	if len(t.elsewhere) > 0 {
		t.countElsewhere(now, owner, request.SpentElsewhere, grant, h.settings.Tolerance.Window)
	}
	h.accumulate(now, t, request.Limit)
	d := h.domain(h.settings.Domain(request.Tenant))
	d.leased = grant.Epoch > 0 || grant.Lease != nil
	switch {
	case !d.leased: // whoever grants by order knows nothing of the lease
		t.lease, t.level = nil, 0
	case grant.Epoch >= d.epoch: // the newest owner would not know of a lease of an earlier epoch
		d.epoch, d.report = grant.Epoch, grant.Unheard
		t.replaceLease(now, sentAt, request, grant)
	}
	if grant.RetryAfter > 0 {
		t.rejectUntil = now.Add(min(grant.RetryAfter, maxRejectionTime))
		t.nextRetryAt = now.Add(grant.RetryAfter)
		t.spacing = time.Duration(float64(time.Second) / max(request.Limit.Rate, 1))
	}
	return min(grant.Tokens, waiting), true
}

// ExpectsLeases reports whether a tenant's limit is granted under leases, as far as is known. Then
// its owner is the leader of its domain, else the first live store in placement order.
func (h *Holder) ExpectsLeases(tenant string) bool {
	return h.domain(h.settings.Domain(tenant)).leased
}

// RecordLeader records that a store named another one as the owner, as only stores do that grant
// under leases.
func (h *Holder) RecordLeader(tenant string) {
	h.domain(h.settings.Domain(tenant)).leased = true
}

// replaceLease replaces the lease by that of a grant.
func (t *tenantState) replaceLease(now, sentAt time.Time, request TokenRequest, grant Grant) {
	if t.lease == nil {
		t.level, t.levelAt = 0, now
	}
	t.lease, t.leaseLimit, t.version, t.leasedAt = grant.Lease, request.Limit, request.Version, sentAt
	if t.lease == nil {
		t.level = 0
		return
	}
	t.level = min(t.level+float64(grant.Reserve), t.lease.Depth)
}

// RetryAfter returns the delay after which a request without a token should be retried. The
// delays of consecutive calls are spread at the rate of the limit.
func (h *Holder) RetryAfter(now time.Time, tenant string) time.Duration {
	return h.tenant(tenant).nextRetryAfter(now)
}

// ReturnToken returns the token of a request that did not run. tokenAt is that of its Verdict,
// or the time at which the request for its token was sent. The token may be used for another
// request until it would have expired.
func (h *Holder) ReturnToken(now time.Time, tenant string, tokenAt time.Time) {
	if now.Sub(tokenAt) >= GrantTTL {
		return
	}
	t := h.tenant(tenant)
	t.returned = append(t.returned, tokenAt)
}

// MarkUnresponsive records that an owner or a peer did not answer. It is skipped for a while.
func (h *Holder) MarkUnresponsive(now time.Time, process string) {
	b := h.backoffs[process]
	if b == nil {
		b = &backoff{}
		h.backoffs[process] = b
	}
	b.duration = min(max(2*b.duration, minBackoff), maxBackoff)
	b.until = now.Add(b.duration)
}

// MarkResponsive records that an owner or a peer answered.
func (h *Holder) MarkResponsive(process string) { delete(h.backoffs, process) }

// Available reports whether an owner or a peer may be asked, that is, has not just failed to
// answer.
func (h *Holder) Available(now time.Time, process string) bool {
	b := h.backoffs[process]
	return b == nil || !now.Before(b.until)
}

// nextRetryAfter returns the delay after which the next rejected request should be retried.
// It spreads the retries over the times at which tokens become available.
func (t *tenantState) nextRetryAfter(now time.Time) time.Duration {
	if t.nextRetryAt.Before(now) {
		t.nextRetryAt = now
	}
	t.nextRetryAt = t.nextRetryAt.Add(t.spacing)
	return max(t.nextRetryAt.Sub(now), time.Millisecond)
}

// updateDemand updates the moving average. The request itself counts from the next one on, so
// that a rare request does not look like a high rate.
func (t *tenantState) updateDemand(now time.Time) {
	if !t.usedAt.IsZero() {
		decay := math.Exp(-max(now.Sub(t.usedAt).Seconds(), 0) / demandTimeConstant.Seconds())
		t.demand = (t.demand + 1/demandTimeConstant.Seconds()) * decay
	}
	t.usedAt = now
}

func (h *Holder) tenant(name string) *tenantState {
	t := h.tenants[name]
	if t == nil {
		t = &tenantState{}
		h.tenants[name] = t
	}
	return t
}

func (h *Holder) domain(name string) *domainState {
	d := h.domains[name]
	if d == nil {
		d = &domainState{}
		h.domains[name] = d
	}
	return d
}

func (h *Holder) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < tenantTTL {
		return
	}
	h.sweptAt = now
	for name, t := range h.tenants {
		if now.Sub(t.usedAt) > tenantTTL {
			delete(h.tenants, name)
		}
	}
	for process, b := range h.backoffs {
		if now.Sub(b.until) > tenantTTL {
			delete(h.backoffs, process)
		}
	}
}
