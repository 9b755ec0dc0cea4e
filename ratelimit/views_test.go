package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

// Processes that start together must not each take themselves for the owner or the only holder.
func TestProcessesStartingTogetherStayWithinLimit(t *testing.T) {
	for _, rate := range []float64{3, 30, 120} {
		for _, join := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			p := scenarios(rate, 1)["hot everywhere"]
			p.startAt, p.joinWithin = 24*time.Second, join
			t.Run(fmt.Sprintf("%g a second, views complete within %v", rate, join), func(t *testing.T) { p.check(t) })
		}
	}
}

// Cut-off holders with little traffic must not add their shares to what the owner grants the others.
func TestCutOffHoldersDoNotExceedLimitWithOwner(t *testing.T) {
	for _, rate := range []float64{30, 120} {
		p := scenarios(rate, 1)["hot, all cut from a third"]
		p.singleHolder, p.hotHolder, p.hotOnTop = true, p.holders-1, true
		t.Run(fmt.Sprintf("%g a second", rate), func(t *testing.T) { p.check(t) })
	}
}

// Views that name different owners must not multiply the limit.
func TestDifferentOwnerOrdersStayWithinLimit(t *testing.T) {
	for _, rate := range []float64{3, 30, 120} {
		p := scenarios(rate, 1)["hot, owner deposed again and again"]
		t.Run(fmt.Sprintf("%g a second", rate), func(t *testing.T) { p.check(t) })
	}
}

func (p scenario) check(t *testing.T) {
	t.Helper()
	for seed := range uint64(6) {
		if excess := p.excess(p.run(seed)); excess > 0 {
			t.Errorf("seed %d: %d requests above the bound of %.0f", seed, excess, tolerance.Bound(p.limit))
		}
	}
}

// Requests that waited long without running must not free their tokens for a later window.
func TestLateReturnedTokensStayWithinLimit(t *testing.T) {
	limit := route.RateLimit{Rate: 40, Burst: 40}
	start := time.Unix(1_700_000_000, 0)
	holder, owner := newHolder("h", 1), newSoleOwner(1, start, nil)
	owner.Register(start, "h")
	var waiting, ran []time.Duration
	sequence := uint64(0)
	admit := func(now time.Duration) bool {
		at := start.Add(now)
		if verdict := holder.Decide(at, "t", limit); verdict.Decision != AskOwner {
			return verdict.Decision == Admit
		}
		request := holder.NewRequest(at, "t", limit, 1, 1)
		sequence++
		request.Sequence = sequence
		admitted, _ := holder.ApplyGrant(at, at, "o", request, owner.HandleRequest(at, request), 1)
		return admitted == 1
	}
	const recovered = 10 * time.Second // no worker serves before
	for now := time.Duration(0); now < 20*time.Second; now += 2 * time.Millisecond {
		for len(waiting) > 0 && (now-waiting[0] >= 4*time.Second || now == recovered) {
			holder.ReturnToken(start.Add(now), "t", start.Add(waiting[0]))
			waiting = waiting[1:]
		}
		if !admit(now) {
			continue
		}
		if now < recovered {
			waiting = append(waiting, now)
		} else {
			ran = append(ran, now)
		}
	}
	p := scenario{limit: limit}
	if excess := p.excess(outcome{admitted: ran}); excess > 0 {
		t.Errorf("%d requests above the bound of %.0f", excess, tolerance.Bound(limit))
	}
}

// A process that restarts after its clock was set back must get tokens, though no lease.
func TestRestartWithEarlierClockGetsTokens(t *testing.T) {
	limit := route.RateLimit{Rate: 40, Burst: 40}
	start := time.Unix(1_700_000_000, 0)
	owner := newSoleOwner(1, start.Add(-time.Hour), nil)
	owner.Register(start, "h")
	for _, instance := range []uint64{2_000, 1_000} {
		h := newHolder("h", instance)
		h.Decide(start, "t", limit)
		request := h.NewRequest(start, "t", limit, 1, 1)
		request.Sequence = instance + 1
		grant := owner.HandleRequest(start, request)
		if admitted, ok := h.ApplyGrant(start, start, "o", request, grant, 1); !ok || admitted != 1 || (grant.Lease != nil) != (instance == 2_000) {
			t.Errorf("instance %d: %+v", instance, grant)
		}
	}
}

// A holder of a build that spends no leases must not tie up shares of the rate.
func TestHolderWithoutInstanceGetsNoLease(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	owner := newSoleOwner(1, start.Add(-time.Hour), []string{"h"})
	request := TokenRequest{Tenant: "t", Limit: route.RateLimit{Rate: 40, Burst: 40}, Version: 1, Tokens: 1, Holder: "h", Sequence: 1, Demand: 5}
	if grant := owner.HandleRequest(start, request); grant.Tokens != 1 || grant.Lease != nil || grant.Unheard {
		t.Errorf("%+v", grant)
	}
}

// Leases of a higher limit must not be spent beside an owner that knows only the lower one.
func TestLoweredLimitHoldsAcrossOwners(t *testing.T) {
	before, after := route.RateLimit{Rate: 400, Burst: 0}, route.RateLimit{Rate: 20, Burst: 0}
	start := time.Unix(1_700_000_000, 0)
	const n = 6
	var holders []*Holder
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("h", i))
		holders = append(holders, newHolder(ids[i], 1))
	}
	first := newSoleOwner(1, start.Add(-time.Hour), ids)
	sequence := uint64(0)
	ask := func(now time.Duration, owner *Owner, i int, limit route.RateLimit, version int64) bool {
		at := start.Add(now)
		if verdict := holders[i].Decide(at, "t", limit); verdict.Decision != AskOwner {
			return verdict.Decision == Admit
		}
		request := holders[i].NewRequest(at, "t", limit, version, 1)
		sequence++
		request.Sequence = sequence
		admitted, _ := holders[i].ApplyGrant(at, at, "o", request, owner.HandleRequest(at, request), 1)
		return admitted == 1
	}
	const changed = 8 * time.Second
	for now := time.Duration(0); now < changed; now += 5 * time.Millisecond {
		ask(now, first, int(now/(5*time.Millisecond))%n, before, 1)
	}
	// The next owner hears one holder only; the others are cut off and know the new limit.
	next := newSoleOwner(2, start.Add(changed), ids)
	var ran []time.Duration
	for now := changed; now < changed+12*time.Second; now += 5 * time.Millisecond {
		for i := range n {
			at := start.Add(now)
			if i == 0 && ask(now, next, i, after, 2) || i > 0 && holders[i].DecideLocally(at, "t", after).Decision == Admit {
				ran = append(ran, now)
			}
		}
	}
	if excess := excess(ran, tolerance.Bound(after)); excess > 0 {
		t.Errorf("%d requests above the bound of %.0f", excess, tolerance.Bound(after))
	}
}

// An owner of the build before, which knows no leases, must not grant beside the new one.
func TestLimitHoldsBesideOwnerOfBuildBefore(t *testing.T) {
	limit := route.RateLimit{Rate: 100, Burst: 100}
	start := time.Unix(1_700_000_000, 0)
	owners := []*Owner{NewOwner(tolerance, 1, start, nil), NewOwner(tolerance, 2, start, nil)}
	var ran []time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 2 * time.Millisecond {
		for i, owner := range owners {
			request := TokenRequest{Tenant: "t", Limit: limit, Version: 1, Tokens: 1, Holder: fmt.Sprint("h", i), Sequence: uint64(now) + 1}
			for range owner.HandleRequest(start.Add(now), request).Tokens {
				ran = append(ran, now)
			}
		}
	}
	if excess := excess(ran, tolerance.Bound(limit)); excess > 0 {
		t.Errorf("%d requests above the bound of %.0f", excess, tolerance.Bound(limit))
	}
}
