package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

func TestDuplicateRequestCountsOnce(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	limit := route.RateLimit{Rate: 10, Burst: 10}
	request := TokenRequest{Tenant: "t", Limit: limit, Version: 1, Tokens: 2, SpentElsewhere: 1, Holder: "f", Sequence: 7}
	other := func(change func(*TokenRequest)) TokenRequest {
		changed := request
		change(&changed)
		return changed
	}
	tests := []struct {
		name    string
		fault   Fault
		second  TokenRequest
		after   time.Duration
		charged bool // the second request takes tokens
	}{
		{"duplicate", FaultNone, request, 40 * time.Millisecond, false},
		{"next request", FaultNone, other(func(a *TokenRequest) { a.Sequence++ }), 0, true},
		{"request of another holder", FaultNone, other(func(a *TokenRequest) { a.Holder = "g" }), 0, true},
		{"request without a holder", FaultNone, other(func(a *TokenRequest) { a.Holder = "" }), 0, true},
		{"duplicate after the window", FaultNone, request, duplicateWindow + time.Millisecond, true},
		{"duplicate with the injected fault", FaultCountDuplicates, request, 40 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newSoleOwner(1, start, nil)
			o.fault = test.fault
			o.HandleRequest(start, TokenRequest{Tenant: "t", Limit: limit, Version: 1})
			now := start.Add(3 * time.Second)
			first := o.HandleRequest(now, request)
			before := o.buckets["t"].level
			second := o.HandleRequest(now.Add(test.after), test.second)
			taken := before - o.buckets["t"].level + limit.Rate*test.after.Seconds()
			if charged := taken > 0.5; charged != test.charged || first.Tokens == 0 || !test.charged && second != first {
				t.Errorf("second request took %.1f tokens; grants %+v, then %+v", taken, first, second)
			}
		})
	}
}

func TestGrantCacheIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	o := newSoleOwner(1, now, nil)
	for i := range 3 * maxCachedGrants {
		o.HandleRequest(now, TokenRequest{Tenant: fmt.Sprint(i % 10), Limit: route.RateLimit{Rate: 1}, Tokens: 1, Holder: "f", Sequence: uint64(i)})
	}
	if n := len(o.recentGrants.grants); n > maxCachedGrants || n != len(o.recentGrants.order) {
		t.Errorf("%d grants cached, %d in order", n, len(o.recentGrants.order))
	}
	o.HandleRequest(now.Add(time.Second), TokenRequest{Tenant: "t", Limit: route.RateLimit{Rate: 1}, Holder: "f", Sequence: 1})
	if n := len(o.recentGrants.grants); n != 1 {
		t.Errorf("%d grants cached a second later", n)
	}
}
