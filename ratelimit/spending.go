package ratelimit

import "time"

// spendingInterval is the time over which tokens are counted together.
const spendingInterval = 500 * time.Millisecond

// spending is the number of tokens spent over time, oldest first. The zero value holds none.
type spending []spentTokens

type spentTokens struct {
	at     time.Time // of the first
	tokens int
}

// with returns s with n tokens spent now.
func (s spending) with(now time.Time, n int) spending {
	if last := len(s) - 1; last >= 0 && now.Sub(s[last].at) < spendingInterval {
		s[last].tokens += n
		return s
	}
	return append(s, spentTokens{at: now, tokens: n})
}

// since returns what was spent after a time.
func (s spending) since(at time.Time) spending {
	for len(s) > 0 && !s[0].at.After(at) {
		s = s[1:]
	}
	return s
}

// without returns s without the n oldest tokens.
func (s spending) without(n int) spending {
	for len(s) > 0 && s[0].tokens <= n {
		n -= s[0].tokens
		s = s[1:]
	}
	if len(s) > 0 {
		s[0].tokens -= n
	}
	return s
}

// total returns the number of tokens.
func (s spending) total() int {
	n := 0
	for _, each := range s {
		n += each.tokens
	}
	return n
}

// MarkOwnerUnresponsive records that an owner did not answer a request for a tenant's tokens.
// What others grant by order from then on is reported to it by SpentElsewhere.
func (h *Holder) MarkOwnerUnresponsive(now time.Time, owner, tenant string) {
	h.MarkUnresponsive(now, owner)
	t := h.tenant(tenant)
	if t.elsewhere == nil {
		t.elsewhere = map[string]spending{}
	}
	t.elsewhere[owner] = t.elsewhere[owner].since(now.Add(-h.settings.Tolerance.Window))
}

// SpentElsewhere returns the number of tokens to report to an owner with the next request.
func (h *Holder) SpentElsewhere(now time.Time, owner, tenant string) int {
	return h.tenant(tenant).elsewhere[owner].since(now.Add(-h.settings.Tolerance.Window)).total()
}

// countElsewhere updates what is to be reported to owners after one has answered.
func (t *tenantState) countElsewhere(now time.Time, owner string, reported int, grant Grant, window time.Duration) {
	if left := t.elsewhere[owner].since(now.Add(-window)).without(reported); left.total() > 0 {
		t.elsewhere[owner] = left
	} else {
		delete(t.elsewhere, owner)
	}
	if grant.Epoch > 0 {
		return
	}
	for other, spent := range t.elsewhere {
		if other != owner {
			t.elsewhere[other] = spent.since(now.Add(-window)).with(now, grant.Tokens)
		}
	}
}
