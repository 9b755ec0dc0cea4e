package ratelimit

import (
	"math"
	"time"

	"github.com/dykewing/dykewing/route"
)

// previousHolder admits one tenant's requests as builds without leases do: it prefetches tokens,
// and without an owner spends a share of the limit by the number of holders.
type previousHolder struct {
	tolerance   Tolerance
	tokens      int
	tokensUntil time.Time
	rejectUntil time.Time
	rate        float64
	usedAt      time.Time
	level       float64
	levelAt     time.Time
	credit      float64
	creditAt    time.Time
	elsewhere   map[int]int // tokens spent without each owner
	skipUntil   map[int]time.Time
	normal      float64 // rate before the last request
}

const (
	previousTokenTTL      = 250 * time.Millisecond
	previousPrefetch      = 150 * time.Millisecond
	previousRetryInterval = time.Second
	previousLocalSlack    = 0.35
	previousIsolated      = 0.4
	previousNormalRate    = 1.3
	previousRateConstant  = time.Second
	previousLevelTTL      = 3 * time.Second
)

func newPreviousHolder(tolerance Tolerance) *previousHolder {
	return &previousHolder{tolerance: tolerance, elsewhere: map[int]int{}, skipUntil: map[int]time.Time{}}
}

func (h *previousHolder) decide(now time.Time) (decided, admitted bool) {
	h.normal = h.rate * math.Exp(-max(now.Sub(h.usedAt).Seconds(), 0)/previousRateConstant.Seconds())
	h.rate, h.usedAt = h.normal+1/previousRateConstant.Seconds(), now
	switch {
	case now.Before(h.tokensUntil) && h.tokens > 0:
		h.tokens--
		return true, true
	case now.Before(h.rejectUntil):
		return true, false
	}
	return false, false
}

func (h *previousHolder) available(now time.Time, store int) bool {
	return !now.Before(h.skipUntil[store])
}

func (h *previousHolder) markUnresponsive(now time.Time, store int) {
	h.skipUntil[store] = now.Add(previousRetryInterval)
	if _, known := h.elsewhere[store]; !known {
		h.elsewhere[store] = 0
	}
}

func (h *previousHolder) request(limit route.RateLimit, id string, store int) TokenRequest {
	return TokenRequest{Tenant: "t", Limit: limit, Version: 1, Tokens: 1 + int(h.rate*previousPrefetch.Seconds()), Holder: id, SpentElsewhere: h.elsewhere[store]}
}

func (h *previousHolder) apply(now time.Time, store int, grant Grant) (admitted bool) {
	h.level, h.levelAt = grant.Level, now
	delete(h.skipUntil, store)
	delete(h.elsewhere, store)
	for other := range h.elsewhere {
		h.elsewhere[other] += grant.Tokens
	}
	if grant.RetryAfter > 0 {
		h.rejectUntil = now.Add(min(grant.RetryAfter, maxRejectionTime))
	}
	admitted = grant.Tokens > 0
	h.tokens, h.tokensUntil = max(grant.Tokens-1, 0), now.Add(previousTokenTTL)
	return admitted
}

func (h *previousHolder) decideLocally(now time.Time, limit route.RateLimit, holders int, draw float64) bool {
	share, slack := 1/float64(holders), h.tolerance.slack(limit)
	if h.creditAt.IsZero() || now.Sub(h.creditAt) > h.tolerance.Window {
		h.credit = previousLocalSlack * slack * share / previousIsolated
		if !h.levelAt.IsZero() && now.Sub(h.levelAt) < previousLevelTTL {
			h.credit += max(h.level, 0) * share
		}
	} else {
		rate := limit.Rate
		if h.normal > previousNormalRate*limit.Rate*share {
			rate = min(rate, previousLocalSlack*slack/(previousIsolated*h.tolerance.Window.Seconds()))
		}
		h.credit += rate * share * now.Sub(h.creditAt).Seconds()
	}
	h.creditAt = now
	h.credit = min(h.credit, max((limit.Burst+orderSlackShare*slack)*share, 1))
	if draw >= h.credit {
		return false
	}
	h.credit--
	for store := range h.elsewhere {
		h.elsewhere[store]++
	}
	return true
}

// previousOwner grants a tenant's tokens as stores of builds without leases do, by order.
type previousOwner struct {
	tolerance       Tolerance
	level, promised float64
	at              time.Time
}

func (o *previousOwner) handle(now time.Time, request TokenRequest, backup bool) Grant {
	limit, slack := request.Limit, orderSlackShare*o.tolerance.slack(request.Limit)
	if o.at.IsZero() {
		o.at, o.level = now, max(slack, 1)
	}
	share := 1.0
	if backup {
		share = backupShare
	}
	added := share * limit.Rate * max(now.Sub(o.at), 0).Seconds()
	o.at = now
	o.level = min(o.level+added, max(limit.Burst+slack, 1)) - float64(max(request.SpentElsewhere, 0))
	o.promised = max(o.promised-added, 0)
	grant := Grant{Tokens: max(min(request.Tokens, int(math.Floor(o.level))), 0)}
	o.level -= float64(grant.Tokens)
	if rejected := request.Tokens - grant.Tokens; grant.Tokens == 0 && rejected > 0 {
		o.promised += float64(rejected)
		grant.RetryAfter = time.Duration((o.promised - o.level) / (share * limit.Rate) * float64(time.Second))
	}
	grant.Level = o.level
	return grant
}
