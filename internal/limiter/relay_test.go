package limiter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/relayed"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
)

// relayFixture is a frontend that gets no response from any store, with a peer that does.
type relayFixture struct {
	*fixture
	owner            *Owner       // of the first store
	requestsReceived atomic.Int64 // token requests that reached it
}

// newRelayFixture returns stores that don't answer the frontend. With arrives, requests reach
// the stores and only the responses are lost.
func newRelayFixture(t *testing.T, arrives bool) *relayFixture {
	p := &relayFixture{fixture: newFixture(t, 2)}
	p.timeout = 20 * time.Second // the tests check who answers, not when
	first := p.nodes[0].ID
	p.owner = newOwner(first, p.lease(first), func() []api.Node { return nil })
	count := func(w http.ResponseWriter, r *http.Request) {
		p.requestsReceived.Add(1)
		p.owner.ServeHTTP(w, r)
	}
	reached := httptest.NewServer(http.HandlerFunc(count))
	t.Cleanup(reached.Close)
	unreachable := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if arrives {
			count(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(unreachable.Close)
	logger := logrus.New()
	logger.SetOutput(t.Output())
	peer := relayed.New(relayed.Settings{
		Self: func() api.Node { return api.Node{ID: "peer", Role: api.RoleFrontend} },
		Nodes: func() []api.Node {
			return []api.Node{{ID: first, Role: api.RoleStore, Address: strings.TrimPrefix(reached.URL, "http://")}}
		},
		ForwardedPaths: []string{PathTokens}, Log: logrus.NewEntry(logger), Registry: prometheus.NewRegistry(), DialTimeout: 20 * time.Second,
	})
	t.Cleanup(peer.Close)
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	p.nodes[0].Address = strings.TrimPrefix(unreachable.URL, "http://")
	p.unresponsive[p.nodes[1].ID].Store(true)
	p.peers = []api.Node{{ID: "peer", Role: api.RoleFrontend, Address: strings.TrimPrefix(server.URL, "http://")}}
	return p
}

func TestUnreachableOwnerIsAskedThroughPeer(t *testing.T) {
	p := newRelayFixture(t, false)
	result := p.admit(t)
	if !result.Admitted || result.Owner != p.nodes[0].ID {
		t.Errorf("%+v", result)
	}
	// The new owner's only token is used up. Its rejection also arrives through the peer.
	if result := p.admit(t); result.Admitted || result.RetryAfter <= 0 || result.Owner != p.nodes[0].ID {
		t.Errorf("over the limit: %+v", result)
	}
	if asked := p.requests[p.nodes[1].ID].Load(); asked > 0 {
		t.Errorf("the second owner got %d token requests", asked)
	}
}

// A request whose direct response is lost has taken its tokens; the duplicate through the
// peer must not take them again.
func TestDuplicateThroughPeerCountsOnce(t *testing.T) {
	p := newRelayFixture(t, true)
	lease, _ := p.lease(p.nodes[0].ID)(t.Context(), 0)
	if _, failure := p.owner.grantAsLeader(0, lease, ratelimit.TokenRequest{Tenant: clinic.Name, Limit: clinic.Limit, Version: 1}); failure != nil {
		t.Fatal(failure)
	}
	result := p.admit(t)
	if !result.Admitted || p.requestsReceived.Load() < 2 {
		t.Fatalf("%+v with %d requests", result, p.requestsReceived.Load())
	}
	if result.Level < -0.5 || result.Level > 0.5 {
		t.Errorf("%.2f tokens are left, want 0", result.Level)
	}
	if first := placement.RankStores(clinic.Name, p.nodes)[0].ID; result.Owner != first {
		t.Errorf("%s answered", result.Owner)
	}
}

// Without a peer that reaches an owner, the frontend decides locally.
func TestDecidesLocallyWithoutReachablePeer(t *testing.T) {
	p := newRelayFixture(t, false)
	p.nodes = p.nodes[1:]
	result := p.admit(t)
	if result.Owner != "" {
		t.Errorf("%+v", result)
	}
}
