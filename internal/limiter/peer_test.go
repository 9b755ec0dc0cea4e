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
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/relayed"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/ratelimit"
)

// pair is a frontend that gets no answer of any store, with a peer that does.
type pair struct {
	*fixture
	owner  *Owner       // of the first store
	copies atomic.Int64 // of questions that reached it
}

// newPair gives stores that don't answer the frontend; arrives: its questions arrive all
// the same, and only the answers are lost.
func newPair(t *testing.T, arrives bool) *pair {
	p := &pair{fixture: newFixture(t, 2)}
	p.within = 20 * time.Second // the test judges by whom an answer comes, not when
	first := p.nodes[0].ID
	p.owner = NewOwner(tolerance, first, func() []api.Node { return p.nodes })
	count := func(w http.ResponseWriter, r *http.Request) {
		p.copies.Add(1)
		p.owner.ServeHTTP(w, r)
	}
	reached := httptest.NewServer(http.HandlerFunc(count))
	t.Cleanup(reached.Close)
	cut := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if arrives {
			count(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(cut.Close)
	logger := logrus.New()
	logger.SetOutput(t.Output())
	peer := relayed.New(relayed.Settings{
		Self: func() api.Node { return api.Node{ID: "peer", Role: api.RoleFrontend} },
		Nodes: func() []api.Node {
			return []api.Node{{ID: first, Role: api.RoleStore, Address: strings.TrimPrefix(reached.URL, "http://")}}
		},
		Paths: []string{PathTokens}, Log: logrus.NewEntry(logger), Registry: prometheus.NewRegistry(), DialTimeout: 20 * time.Second,
	})
	t.Cleanup(peer.Close)
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	p.nodes[0].Address = strings.TrimPrefix(cut.URL, "http://")
	p.silent[p.nodes[1].ID].Store(true)
	p.peers = []api.Node{{ID: "peer", Role: api.RoleFrontend, Address: strings.TrimPrefix(server.URL, "http://")}}
	return p
}

func TestAnOwnerOutOfReachIsAskedThroughAPeer(t *testing.T) {
	p := newPair(t, false)
	verdict := p.admit(t)
	if !verdict.Admitted || verdict.Owner != p.nodes[0].ID {
		t.Errorf("%+v", verdict)
	}
	// The new owner's one token is gone: its word comes through the peer, too.
	if verdict := p.admit(t); verdict.Admitted || verdict.RetryAfter <= 0 || verdict.Owner != p.nodes[0].ID {
		t.Errorf("over the limit: %+v", verdict)
	}
	if asked := p.asks[p.nodes[1].ID].Load(); asked > 0 {
		t.Errorf("the second owner was asked %d times", asked)
	}
}

// An answer that is lost on the straight way took its tokens; the copy through the peer
// takes no more.
func TestACopyThroughAPeerCountsOnce(t *testing.T) {
	p := newPair(t, true)
	p.owner.owner.Step(clock.Now(), ratelimit.Ask{Tenant: clinic.Name, Limit: clinic.Limit, Version: 1}, false)
	verdict := p.admit(t)
	if !verdict.Admitted || p.copies.Load() < 2 {
		t.Fatalf("%+v with %d copies", verdict, p.copies.Load())
	}
	if verdict.Level < -0.5 || verdict.Level > 0.5 {
		t.Errorf("%.2f tokens are left of one", verdict.Level)
	}
	if first := placement.Stores(clinic.Name, p.nodes)[0].ID; verdict.Owner != first {
		t.Errorf("%s answered", verdict.Owner)
	}
}

// A peer that is cut off as well leaves the frontend to decide alone, as before.
func TestWithoutAPeerThatReachesAnOwnerItIsDecidedAlone(t *testing.T) {
	p := newPair(t, false)
	p.nodes = p.nodes[1:]
	verdict := p.admit(t)
	if verdict.Owner != "" {
		t.Errorf("%+v", verdict)
	}
}
