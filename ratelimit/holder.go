package ratelimit

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/route"
)

const (
	// tokenTTL is how long prefetched tokens may be used. Tokens that expire are lost to the
	// tenant, so it is short.
	tokenTTL = 250 * time.Millisecond
	// prefetchTime is the time for which a holder prefetches tokens, by its recent rate of
	// requests of the tenant.
	prefetchTime = 150 * time.Millisecond
	// ownerRetryInterval is how long an owner that did not answer is skipped.
	ownerRetryInterval = time.Second
	// maxRejectionTime limits how long requests are rejected on the basis of one grant.
	maxRejectionTime = 100 * time.Millisecond
	// tenantTTL is how long the state of an idle tenant is kept.
	tenantTTL = time.Minute
	// rateTimeConstant is the time constant of the moving average of a tenant's request rate.
	rateTimeConstant = time.Second
	// localSlackFraction is the fraction of the slack that the holders without a reachable
	// owner may spend together in a window, while an owner grants the whole rate to the
	// others. isolatedFraction is the assumed largest fraction of such holders.
	localSlackFraction = 0.35
	isolatedFraction   = 0.4
	// normalRateFactor times a holder's share of the limit is the rate up to which a tenant's
	// traffic counts as normal. Without an owner it then gets the holder's whole share.
	normalRateFactor = 1.3
	// levelTTL is how long the bucket level last returned by an owner is used without it.
	levelTTL = 3 * time.Second
)

// Holder admits requests at one process within the tokens that owners grant to it. It is not
// safe for concurrent use.
type Holder struct {
	tolerance Tolerance
	tenants   map[string]*tenantState
	skipUntil map[string]time.Time // owners that did not answer, with the time of the next attempt
	sweptAt   time.Time
}

// tenantState is the state of one tenant at a holder.
type tenantState struct {
	tokens         int // prefetched
	tokensUntil    time.Time
	rejectUntil    time.Time
	nextRetryAt    time.Time      // retry time of the next rejected request
	spacing        time.Duration  // between retry times
	spentElsewhere map[string]int // tokens spent without each owner and not yet reported to it
	level          float64        // last bucket level returned by an owner
	levelAt        time.Time
	credit         float64 // tokens that may be spent without an owner
	creditAt       time.Time
	rate           float64 // moving average, requests per second
	previousRate   float64 // before the last request
	usedAt         time.Time
}

// NewHolder returns a Holder without tokens.
func NewHolder(tolerance Tolerance) *Holder {
	return &Holder{tolerance: tolerance, tenants: map[string]*tenantState{}, skipUntil: map[string]time.Time{}}
}

// Decision is the decision of a Holder about a request.
type Decision int

// Decisions about a request.
const (
	Admit    Decision = iota + 1
	Reject            // the tenant is over its limit
	AskOwner          // an owner has to be asked for tokens
)

// Decide decides about an arriving request of a tenant. For a rejected request it also
// returns the delay after which it should be retried.
func (h *Holder) Decide(now time.Time, tenant string) (Decision, time.Duration) {
	h.sweep(now)
	t := h.tenant(now, tenant)
	t.updateRate(now)
	if now.Before(t.tokensUntil) && t.tokens > 0 {
		t.tokens--
		return Admit, 0
	}
	if now.Before(t.rejectUntil) {
		return Reject, t.nextRetryAfter(now)
	}
	return AskOwner, 0
}

// NewRequest returns the request to send to the tenant's owner for the given number of waiting
// requests, plus the tokens to prefetch. The caller sets its Holder and Sequence.
func (h *Holder) NewRequest(now time.Time, owner, tenant string, limit route.RateLimit, version int64, waiting int) TokenRequest {
	t := h.tenant(now, tenant)
	prefetch := int(t.rate * prefetchTime.Seconds())
	return TokenRequest{Tenant: tenant, Limit: limit, Version: version, Tokens: waiting + prefetch, SpentElsewhere: t.spentElsewhere[owner]}
}

// ApplyGrant applies the owner's response to a request for the given number of waiting requests
// and returns how many of them are admitted.
func (h *Holder) ApplyGrant(now time.Time, owner string, request TokenRequest, grant Grant, waiting int) (admitted int) {
	t := h.tenant(now, request.Tenant)
	delete(h.skipUntil, owner)
	t.acknowledgeSpent(owner, request.SpentElsewhere)
	t.level, t.levelAt = grant.Level, now
	admitted = min(grant.Tokens, waiting)
	t.tokens, t.tokensUntil = grant.Tokens-admitted, now.Add(tokenTTL)
	if grant.RetryAfter > 0 {
		t.rejectUntil = now.Add(min(grant.RetryAfter, maxRejectionTime))
		t.nextRetryAt = now.Add(grant.RetryAfter)
		t.spacing = time.Duration(float64(time.Second) / max(request.Limit.Rate, 1))
	}
	for other := range t.spentElsewhere {
		if other != owner {
			t.spentElsewhere[other] += grant.Tokens
		}
	}
	return admitted
}

// RetryAfter returns the delay after which a request without a token should be retried. The
// delays of consecutive calls are spread at the rate of the limit.
func (h *Holder) RetryAfter(now time.Time, tenant string) time.Duration {
	return h.tenant(now, tenant).nextRetryAfter(now)
}

// ReturnToken returns the token of a request that did not run.
func (h *Holder) ReturnToken(now time.Time, tenant string) {
	t := h.tenant(now, tenant)
	if !now.Before(t.tokensUntil) {
		t.tokens = 0
	}
	t.tokens, t.tokensUntil = t.tokens+1, now.Add(tokenTTL)
}

// MarkUnresponsive records that an owner did not answer. It is skipped for a while, and tokens spent
// without it from now on are reported to it with the next request.
func (h *Holder) MarkUnresponsive(now time.Time, owner, tenant string) {
	h.skipUntil[owner] = now.Add(ownerRetryInterval)
	t := h.tenant(now, tenant)
	if _, known := t.spentElsewhere[owner]; !known {
		t.spentElsewhere[owner] = 0
	}
}

// Available reports whether an owner may be asked, that is, has not just failed to answer.
func (h *Holder) Available(now time.Time, owner string) bool { return !now.Before(h.skipUntil[owner]) }

// DecideLocally decides about a request without an owner, at one of the given number of holders, and
// reports whether it is admitted; draw is a random number in [0,1). Together the holders
// spend at most the rate that localRate returns, a fraction of the slack, and the bucket
// level last returned by the owner.
func (h *Holder) DecideLocally(now time.Time, tenant string, limit route.RateLimit, holders int, draw float64) bool {
	t := h.tenant(now, tenant)
	share := 1 / float64(max(holders, 1))
	if now.Sub(t.creditAt) > h.tolerance.Window || t.creditAt.IsZero() {
		t.credit = localSlackFraction * h.tolerance.slack(limit) * share / isolatedFraction
		if now.Sub(t.levelAt) < levelTTL && !t.levelAt.IsZero() {
			t.credit += max(t.level, 0) * share
		}
	} else {
		t.credit += h.localRate(limit, t.previousRate <= normalRateFactor*limit.Rate*share) * share * now.Sub(t.creditAt).Seconds()
	}
	t.creditAt = now
	t.credit = min(t.credit, max((limit.Burst+slackFraction*h.tolerance.slack(limit))*share, 1))
	if draw >= t.credit {
		return false
	}
	t.credit--
	for owner := range t.spentElsewhere {
		t.spentElsewhere[owner]++
	}
	return true
}

// localRate returns the tokens per second that all holders together spend without an owner:
// the whole rate while the tenant's traffic is normal, else so little that isolated holders
// stay within the slack while an owner serves the others.
func (h *Holder) localRate(limit route.RateLimit, normal bool) float64 {
	if normal {
		return limit.Rate
	}
	return min(limit.Rate, localSlackFraction*h.tolerance.slack(limit)/(isolatedFraction*h.tolerance.Window.Seconds()))
}

// acknowledgeSpent subtracts the spent tokens that have been reported to an owner.
func (t *tenantState) acknowledgeSpent(owner string, reported int) {
	if left := t.spentElsewhere[owner] - reported; left > 0 {
		t.spentElsewhere[owner] = left
		return
	}
	delete(t.spentElsewhere, owner)
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

func (t *tenantState) updateRate(now time.Time) {
	elapsed := now.Sub(t.usedAt).Seconds() / rateTimeConstant.Seconds()
	t.usedAt = now
	t.previousRate = t.rate * math.Exp(-max(elapsed, 0))
	t.rate = t.previousRate + 1/rateTimeConstant.Seconds()
}

func (h *Holder) tenant(now time.Time, name string) *tenantState {
	t := h.tenants[name]
	if t == nil {
		t = &tenantState{spentElsewhere: map[string]int{}, usedAt: now}
		h.tenants[name] = t
	}
	return t
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
}
