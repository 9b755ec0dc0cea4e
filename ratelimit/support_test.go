package ratelimit

import (
	"testing"
	"time"

	"github.com/dykewing/dykewing/route"
)

// What a leader knows of a store must come from its answer, or from its absence everywhere; silence
// towards the leader proves nothing.
func TestSupport(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	member := Store{ID: "a", Incarnation: 1, Member: true}
	registered := Store{ID: "a"}
	restarted := Store{ID: "a", Incarnation: 2, Member: true}
	remote := Store{ID: "a", Member: true}
	type step struct {
		at      time.Duration
		stores  []Store
		answers string // of the store: leases, order or none
	}
	tests := []struct {
		name         string
		steps        []step
		due, allKnow bool // after the last step's update and before its answer; after it
		byOrder      bool
	}{
		{"silent member", []step{{0, []Store{member}, ""}, {time.Hour, []Store{member}, ""}}, true, false, false},
		{"member that knows leases", []step{{0, []Store{member}, "leases"}, {time.Hour, []Store{member}, ""}}, false, true, false},
		{"member that grants by order, then silent", []step{{0, []Store{member}, "order"}, {time.Hour, []Store{member}, ""}}, false, false, true},
		{"only registered, silent for a short time", []step{{0, []Store{registered}, ""}, {absentStoreTimeout - time.Second, []Store{registered}, ""}}, true, false, false},
		{"only registered, silent for long", []step{{0, []Store{registered}, ""}, {absentStoreTimeout, []Store{registered}, ""}}, true, true, false},
		{"left the view and is silent", []step{{0, []Store{member}, ""}, {time.Hour, []Store{member}, ""}, {time.Hour + time.Second, []Store{registered}, ""}}, true, false, false},
		{"registration removed", []step{{0, []Store{member}, "order"}, {time.Second, nil, ""}}, false, true, false},
		{"restarted", []step{{0, []Store{member}, "leases"}, {time.Second, []Store{restarted}, ""}}, true, false, false},
		{"restarted by a build without leases", []step{{0, []Store{member}, "leases"}, {time.Second, []Store{restarted}, "order"}}, true, false, true},
		{"back in the view", []step{{0, []Store{member}, "leases"}, {time.Second, []Store{registered}, ""}, {2 * time.Second, []Store{member}, ""}}, true, false, false},
		{"restarts are not shown", []step{{0, []Store{remote}, "leases"}, {recheckInterval, []Store{remote}, "order"}}, true, false, true},
		{"restarts are not shown, asked lately", []step{{0, []Store{remote}, "leases"}, {recheckInterval - time.Second, []Store{remote}, ""}}, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			support := NewSupport()
			var due bool
			var now time.Time
			for _, each := range test.steps {
				now = start.Add(each.at)
				support.Update(now, each.stores)
				due = len(support.Due(now, each.stores)) > 0
				if each.answers != "" {
					support.Record(now, each.stores[0], each.answers == "leases")
				}
			}
			if due != test.due || support.AllKnowLeases(now) != test.allKnow || support.GrantsByOrder("a") != test.byOrder {
				t.Errorf("due %t, all know leases %t, by order %t", due, support.AllKnowLeases(now), support.GrantsByOrder("a"))
			}
		})
	}
}

// An owner must grant in full with evidence, and without it only what fits beside a store that
// grants the whole limit.
func TestOwnerGrantsInFullOnlyWithEvidence(t *testing.T) {
	limit := route.RateLimit{Rate: 100, Burst: 20}
	start := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name     string
		evidence func(now time.Time, owner *Owner, request TokenRequest)
		full     bool
	}{
		{"with evidence", func(now time.Time, owner *Owner, _ TokenRequest) { owner.Confirm(now, now.Add(time.Second)) }, true},
		{"without", func(time.Time, *Owner, TokenRequest) {}, false},
		{"expired", func(now time.Time, owner *Owner, _ TokenRequest) { owner.Confirm(now, now.Add(-time.Second)) }, false},
		{"another store grants the tenant's", func(now time.Time, owner *Owner, request TokenRequest) {
			owner.Confirm(now, now.Add(time.Second))
			owner.Share(now, now.Add(time.Second), request)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owner, beside := NewOwner(tolerance, 1, start, nil), previousOwner{tolerance: tolerance}
			var ran, all []time.Duration
			for at := time.Duration(0); at < 20*time.Second; at += 2 * time.Millisecond {
				now := start.Add(at)
				request := TokenRequest{Tenant: "t", Limit: limit, Version: 1, Tokens: 1, Holder: "h", Sequence: uint64(at) + 1}
				test.evidence(now, owner, request)
				for range owner.HandleRequest(now, request).Tokens {
					ran, all = append(ran, at), append(all, at)
				}
				for range beside.handle(now, request, false).Tokens {
					all = append(all, at)
				}
			}
			if want := 20*limit.Rate - 1; test.full && float64(len(ran)) < want { // one may be in the bucket
				t.Errorf("%d tokens, want %.0f", len(ran), want)
			}
			if above := excess(all, tolerance.Bound(limit)); !test.full && above > 0 {
				t.Errorf("%d tokens above the bound beside a store that grants the limit", above)
			}
		})
	}
}
