package limiter

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
	"github.com/dykewing/dykewing/route"
)

// groupFixture is a group of stores of which the one named by leader has the lease. Stores of
// the build before know no leases.
type groupFixture struct {
	startedAt  time.Time // of the leader's lease
	mutex      sync.Mutex
	nodes      []api.Node
	owners     map[api.NodeID]*Owner // without those of the build before
	before     map[api.NodeID]*storeWithoutLeases
	cut        map[api.NodeID]bool // from the leader only
	tolerance  ratelimit.Tolerance
	leader     api.NodeID
	registered []string // in the group's log
}

func newGroupFixture(t *testing.T, before ...api.NodeID) *groupFixture {
	f := &groupFixture{
		startedAt: clock.Now().Add(-time.Second), owners: map[api.NodeID]*Owner{}, before: map[api.NodeID]*storeWithoutLeases{}, cut: map[api.NodeID]bool{},
		tolerance: ratelimit.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}, leader: "store-0",
	}
	for _, id := range []api.NodeID{"store-0", "store-1", "store-2"} {
		f.start(t, id, slices.Contains(before, id))
	}
	return f
}

// start starts a store's process, of the build before or of this one.
func (f *groupFixture) start(t *testing.T, id api.NodeID, before bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	mux := http.NewServeMux()
	delete(f.owners, id)
	if before {
		store := &storeWithoutLeases{tolerance: f.tolerance}
		f.before[id] = store
		mux.Handle("POST "+PathTokens, store)
	} else {
		f.owners[id] = f.newOwner(id)
		mux.Handle("POST "+PathTokens, f.owners[id])
		mux.HandleFunc("POST "+PathByOrder, f.owners[id].ServeByOrder)
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	i := slices.IndexFunc(f.nodes, func(node api.Node) bool { return node.ID == id })
	if i < 0 {
		i = len(f.nodes)
		f.nodes = append(f.nodes, api.Node{ID: id, Role: api.RoleStore})
	}
	f.nodes[i].Address = strings.TrimPrefix(server.URL, "http://")
	f.nodes[i].Incarnation++
}

// storeWithoutLeases grants the whole limit of one tenant to whoever asks, as the first store in
// the tenant's order does in a build without leases.
type storeWithoutLeases struct {
	tolerance ratelimit.Tolerance
	mutex     sync.Mutex // guards all below
	level     float64
	at        time.Time
	asked     int
}

func (s *storeWithoutLeases) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request ratelimit.TokenRequest
	if failure := transport.ReadJSON(w, r, "read question for tokens", maxRequestBytes, &request); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	transport.WriteJSON(w, http.StatusOK, s.grant(clock.Now(), request))
}

func (s *storeWithoutLeases) grant(now time.Time, request ratelimit.TokenRequest) ratelimit.Grant {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked++
	limit := request.Limit
	slack := (s.tolerance.Bound(limit) - limit.Rate*s.tolerance.Window.Seconds() - limit.Burst) / 4
	if s.at.IsZero() {
		s.at, s.level = now, max(slack, 1)
	}
	s.level = min(s.level+limit.Rate*now.Sub(s.at).Seconds(), limit.Burst+slack) - float64(request.SpentElsewhere)
	s.at = now
	granted := max(min(float64(request.Tokens), math.Floor(s.level)), 0)
	s.level -= granted
	return ratelimit.Grant{Tokens: int(granted), Level: s.level}
}

func (f *groupFixture) newOwner(id api.NodeID) *Owner {
	nodes := func() []api.Node {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return slices.Clone(f.nodes)
	}
	find := func(id api.NodeID) (api.Node, bool) {
		list := nodes()
		i := slices.IndexFunc(list, func(node api.Node) bool { return node.ID == id })
		if i < 0 {
			return api.Node{}, false
		}
		return list[i], true
	}
	return NewOwner(OwnerSettings{
		Self: id, Tolerance: f.tolerance, Groups: 1, Log: discardLog(), Nodes: nodes, Stores: nodes, Client: &http.Client{Transport: f.network(id)},
		Lease: func(context.Context, api.GroupID) (Lease, *api.Error) {
			if f.currentLeader() != id {
				return Lease{}, api.NewError("lease group", "", api.CodeNotLeader, api.OutcomeNotRun, "not the leader")
			}
			return Lease{Term: 1, Start: f.startedAt, Until: clock.Now().Add(time.Hour)}, nil
		},
		Holders: func(api.GroupID) ([]string, *api.Error) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return slices.Clone(f.registered), nil
		},
		Register: func(_ context.Context, _ api.GroupID, holder string, removed bool) *api.Error {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.registered = slices.DeleteFunc(f.registered, func(other string) bool { return other == holder })
			if !removed {
				f.registered = append(f.registered, holder)
			}
			return nil
		},
		Leads:  func(api.GroupID) (uint64, bool) { return 1, f.currentLeader() == id },
		Leader: func(api.GroupID) (api.Node, bool) { return find(f.currentLeader()) },
	})
}

// network returns the connections of a store, which fail towards stores that are cut from it.
func (f *groupFixture) network(from api.NodeID) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		f.mutex.Lock()
		i := slices.IndexFunc(f.nodes, func(node api.Node) bool { return node.Address == r.URL.Host })
		cut := i >= 0 && from == f.leader && f.cut[f.nodes[i].ID]
		f.mutex.Unlock()
		if cut {
			return nil, errors.New("no way to this store")
		}
		return http.DefaultTransport.RoundTrip(r)
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (f *groupFixture) currentLeader() api.NodeID {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader
}

// ask sends a request for a token to a store.
func (f *groupFixture) ask(t *testing.T, id api.NodeID, instance, sequence uint64) (ratelimit.Grant, *api.Error) {
	t.Helper()
	return f.owners[id].answer(t.Context(), 0, ratelimit.TokenRequest{
		Tenant: clinic.Name, Limit: route.RateLimit{Rate: 50, Burst: 50}, Version: 1, Tokens: 1, Holder: "h", Instance: instance, Sequence: sequence, CompleteFor: 1,
	})
}

// advance lets the leader check the stores and take its next step, and reports whether leases are
// in use.
func (f *groupFixture) advance(t *testing.T) bool {
	leader := f.owners[f.leader]
	leader.checkStores(t.Context())
	return leader.advance(t.Context(), 0)
}

// awaitLeases advances the leader until leases have started.
func (f *groupFixture) awaitLeases(t *testing.T) {
	t.Helper()
	for !f.advance(t) {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("leases have not started")
		}
	}
}

// A leader must not grant under leases while a store of the build before may grant beside it.
func TestLeasesStartOnceAllStoresKnowThem(t *testing.T) {
	f := newGroupFixture(t, "store-2")
	for range 5 {
		if f.advance(t) {
			t.Fatal("leases started beside a store that knows none")
		}
	}
	for i, id := range []api.NodeID{"store-0", "store-1"} {
		if grant, failure := f.ask(t, id, 1, uint64(i+1)); failure != nil || grant.Epoch != 0 {
			t.Errorf("%s granted %+v, %v, want a grant by order", id, grant, failure)
		}
	}
	f.start(t, "store-2", false)
	f.awaitLeases(t)
	if !slices.Contains(f.registered, leasesMarker) {
		t.Error("the start of leases is not in the group's log")
	}
	if grant, failure := f.ask(t, "store-0", 1, 11); failure != nil || grant.Epoch == 0 {
		t.Errorf("the leader granted %+v, %v, want a grant under a lease", grant, failure)
	}
	if grant, failure := f.ask(t, "store-1", 1, 12); failure == nil {
		t.Errorf("a follower granted %+v beside the leader", grant)
	}
}

// Processes of the build before ask stores by order. They must get the leader's tokens once
// leases are in use, and holders of this build its name.
func TestFollowerUnderLeases(t *testing.T) {
	f := newGroupFixture(t)
	f.registered = []string{leasesMarker}
	if grant, failure := f.ask(t, "store-1", 0, 1); failure != nil || grant.Tokens != 1 || grant.Epoch != 1 {
		t.Errorf("forwarded request: %+v, %v", grant, failure)
	}
	if _, failure := f.ask(t, "store-1", 1, 2); failure == nil || failure.Code != api.CodeNotLeader || failure.Leader != "store-0" {
		t.Errorf("%v, want a refusal that names the leader", failure)
	}
}

// A follower may grant only while the leader permits it.
func TestFollowerGrantsByOrderOnlyWithPermit(t *testing.T) {
	tests := []struct {
		name       string
		leader     api.NodeID
		before     []api.NodeID
		registered []string
		want       bool
	}{
		{"leases have not started", "store-0", nil, nil, true},
		{"leases have started", "store-0", nil, []string{leasesMarker}, false},
		{"holders are registered by another build", "store-0", nil, []string{"h"}, false},
		{"leader of the build before", "store-0", []api.NodeID{"store-0"}, nil, true},
		{"no leader", "", nil, nil, false},
		{"leader that does not exist", "store-9", nil, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGroupFixture(t, test.before...)
			f.leader, f.registered = test.leader, test.registered
			if grant, failure := f.ask(t, "store-1", 1, 1); (failure == nil) != test.want {
				t.Errorf("%+v, %v", grant, failure)
			}
		})
	}
}

// An operator's decision at any store must reach the leader and its log, and end the granting of
// leases; without it, leases must start again.
func TestOperatorEndsLeases(t *testing.T) {
	f := newGroupFixture(t)
	f.registered = []string{leasesMarker, "h"}
	f.advance(t)
	if grant, failure := f.ask(t, "store-0", 1, 1); failure != nil || grant.Lease == nil {
		t.Fatalf("%+v, %v, want a lease", grant, failure)
	}
	decide := func(byOrder bool) ByOrderResult {
		t.Helper()
		var result ByOrderResult
		if err := transport.Call(t.Context(), http.DefaultClient, "decide", f.nodes[1].Address, PathByOrder, ByOrderDecision{ByOrder: byOrder}, &result); err != nil {
			t.Fatal(err)
		}
		return result
	}
	if result := decide(true); len(result.Leased) != 1 || !slices.Contains(f.registered, byOrderMarker) {
		t.Errorf("%+v, registered %v", result, f.registered)
	}
	if grant, failure := f.ask(t, "store-0", 1, 2); failure != nil || grant.Lease != nil || grant.Epoch == 0 {
		t.Errorf("%+v, %v, want a grant without a lease until all leases have expired", grant, failure)
	}
	leader := f.owners["store-0"]
	if failure := leader.endLeases(t.Context(), 0, leader.terms[0]); failure != nil || !slices.Equal(f.registered, []string{byOrderMarker}) {
		t.Errorf("%v, registered %v", failure, f.registered)
	}
	if grant, failure := f.ask(t, "store-1", 1, 3); failure != nil || grant.Epoch != 0 {
		t.Errorf("%+v, %v, want a grant by order", grant, failure)
	}
	decide(false)
	f.awaitLeases(t)
}

// Beside a live store that precedes it in the order, a store grants a part of the rate only. In
// the view of one that has just started, that store may be missing.
func TestIsBackup(t *testing.T) {
	nodes := placement.RankStores("t", []api.Node{{ID: "a", Role: api.RoleStore}, {ID: "b", Role: api.RoleStore}, {ID: "f", Role: api.RoleFrontend}})
	first, second := nodes[0], nodes[1]
	suspected, leaving := first, first
	suspected.Suspected, leaving.Leaving = true, true
	const long = time.Hour
	tests := []struct {
		name             string
		self             api.NodeID
		up               time.Duration
		view, registered []api.Node
		want             bool
	}{
		{"first in placement order", first.ID, long, nodes, nodes, false},
		{"second in placement order", second.ID, long, nodes, nodes, true},
		{"first is suspected", second.ID, long, []api.Node{suspected, second}, nodes, false},
		{"first is leaving", second.ID, long, []api.Node{leaving, second}, nodes, false},
		{"only store", second.ID, long, []api.Node{second}, []api.Node{second}, false},
		{"first is gone", second.ID, long, []api.Node{second}, nodes, false},
		{"just started, first not yet seen", second.ID, 0, []api.Node{second}, nodes, true},
		{"just started, first in placement order", first.ID, 0, []api.Node{first}, nodes, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owner := NewOwner(OwnerSettings{
				Tolerance: tolerance, Self: test.self, Nodes: func() []api.Node { return test.view }, Stores: func() []api.Node { return test.registered },
			})
			owner.startedAt = clock.Now().Add(-test.up)
			if got := owner.isBackup("t"); got != test.want {
				t.Errorf("%t", got)
			}
		})
	}
}
