package limiter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
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
	"github.com/dykewing/dykewing/route"
)

var (
	tolerance = ratelimit.Tolerance{Window: 5 * time.Second}
	clinic    = route.Tenant{Name: "clinic", Limit: route.Limit{Rate: 0.001, Burst: 5}}
)

// fixture is a limiter with owners that can fall silent, in the order in which they
// are asked.
type fixture struct {
	*Limiter
	nodes  []api.Node
	peers  []api.Node
	silent map[api.NodeID]*atomic.Bool
	asks   map[api.NodeID]*atomic.Int64
}

func newFixture(t *testing.T, owners int) *fixture {
	f := &fixture{silent: map[api.NodeID]*atomic.Bool{}, asks: map[api.NodeID]*atomic.Int64{}}
	view := func() []api.Node { return f.nodes }
	for i := range owners {
		id := api.NodeID(fmt.Sprint("store-", i))
		owner := NewOwner(tolerance, id, view)
		silent, asks := &atomic.Bool{}, &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asks.Add(1)
			if silent.Load() {
				panic(http.ErrAbortHandler)
			}
			owner.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		f.silent[id], f.asks[id] = silent, asks
		f.nodes = append(f.nodes, api.Node{ID: id, Role: api.RoleStore, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	f.nodes = placement.Stores(clinic.Name, f.nodes)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	registry, log := prometheus.NewRegistry(), logrus.NewEntry(logger)
	asker := relayed.New(relayed.Settings{
		Self:  func() api.Node { return api.Node{ID: "frontend", Role: api.RoleFrontend} },
		Nodes: func() []api.Node { return append(slices.Clone(f.peers), f.nodes...) }, Log: log, Registry: registry, DialTimeout: 20 * time.Second,
	})
	f.Limiter = New(tolerance, "frontend", asker, view, func() int { return 10 }, log, registry)
	t.Cleanup(asker.Close)
	return f
}

func (f *fixture) admit(t *testing.T) Verdict {
	t.Helper()
	verdict, err := f.Admit(t.Context(), clinic, 1)
	if err != nil {
		t.Fatal(err)
	}
	return verdict
}

func TestAsManyAreAdmittedAsTheLimitAllows(t *testing.T) {
	f := newFixture(t, 3)
	f.Limiter.holder = ratelimit.NewHolder(tolerance)
	admitted := 0
	for range 20 {
		verdict := f.admit(t)
		if verdict.Admitted {
			admitted++
		} else if verdict.RetryAfter <= 0 {
			t.Errorf("refused without a time to come back: %+v", verdict)
		}
	}
	// A new owner begins with a token, since it does not know what was given before.
	if admitted != 1 {
		t.Errorf("%d admitted by a new owner", admitted)
	}
	if others := f.asks[f.nodes[1].ID].Load() + f.asks[f.nodes[2].ID].Load(); others > 0 {
		t.Errorf("other stores were asked %d times", others)
	}
}

func TestATenantWithoutALimitIsNotAskedFor(t *testing.T) {
	f := newFixture(t, 1)
	verdict, err := f.Admit(t.Context(), route.Tenant{Name: "free"}, 1)
	if err != nil || !verdict.Admitted || f.asks[f.nodes[0].ID].Load() != 0 {
		t.Errorf("%+v, %v, %d asks", verdict, err, f.asks[f.nodes[0].ID].Load())
	}
}

func TestTheNextOwnerFollowsASilentOne(t *testing.T) {
	f := newFixture(t, 3)
	f.silent[f.nodes[0].ID].Store(true)
	if verdict := f.admit(t); !verdict.Admitted || verdict.Owner != f.nodes[1].ID {
		t.Errorf("%+v", verdict)
	}
	asked := f.asks[f.nodes[0].ID].Load()
	f.admit(t)
	if again := f.asks[f.nodes[0].ID].Load(); again != asked {
		t.Errorf("the silent owner was asked again at once")
	}
}

func TestWithoutAnOwnerARequestIsDecidedAtOnce(t *testing.T) {
	for _, owners := range []int{0, 2} {
		f := newFixture(t, owners)
		for _, silent := range f.silent {
			silent.Store(true)
		}
		refused := 0
		for range 20 {
			if verdict := f.admit(t); !verdict.Admitted && verdict.RetryAfter == 0 && verdict.Owner == "" {
				refused++
			}
		}
		if refused < 15 {
			t.Errorf("%d owners, all silent: %d of 20 refused", owners, refused)
		}
	}
}

// A caller that leaves while its request waits for an owner's word takes no token.
func TestACallerThatLeavesTakesNoToken(t *testing.T) {
	f := newFixture(t, 1)
	answer := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-answer
		fmt.Fprint(w, `{"tokens":1,"level":0}`)
	}))
	t.Cleanup(server.Close)
	f.nodes[0].Address = strings.TrimPrefix(server.URL, "http://")
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if _, err := f.Admit(ctx, clinic, 1); err == nil {
		t.Error("a caller that left was decided about")
	}
	close(answer)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if standing := f.waiting[clinic.Name]; standing != nil && len(standing.list) > 0 {
		t.Errorf("%d requests wait", len(standing.list))
	}
}

func TestAQuestionThatNoFrontendAsksIsRefused(t *testing.T) {
	limit := `"limit":{"Rate":5,"Burst":1}`
	tests := []struct{ name, body string }{
		{"no JSON", `{`},
		{"no tenant", `{` + limit + `,"tokens":1}`},
		{"negative tokens", `{"tenant":"a",` + limit + `,"tokens":-1}`},
		{"negative elsewhere", `{"tenant":"a",` + limit + `,"tokens":1,"elsewhere":-4}`},
		{"no limit", `{"tenant":"a","tokens":1}`},
		{"a negative burst", `{"tenant":"a","limit":{"Rate":5,"Burst":-1},"tokens":1}`},
	}
	owner := NewOwner(tolerance, "store", func() []api.Node { return nil })
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			owner.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, PathTokens, strings.NewReader(test.body)))
			if recorder.Code != http.StatusBadRequest {
				t.Errorf("status %d", recorder.Code)
			}
		})
	}
}

func TestADeputyIsOneWhoKnowsOfAnotherBeforeIt(t *testing.T) {
	nodes := placement.Stores("t", []api.Node{{ID: "a", Role: api.RoleStore}, {ID: "b", Role: api.RoleStore}, {ID: "f", Role: api.RoleFrontend}})
	first, second := nodes[0], nodes[1]
	suspected, leaving := first, first
	suspected.Suspected, leaving.Leaving = true, true
	tests := []struct {
		name string
		self api.NodeID
		view []api.Node
		want bool
	}{
		{"the first", first.ID, nodes, false},
		{"the second", second.ID, nodes, true},
		{"the first is suspected", second.ID, []api.Node{suspected, second}, false},
		{"the first is leaving", second.ID, []api.Node{leaving, second}, false},
		{"alone", second.ID, []api.Node{second}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owner := NewOwner(tolerance, test.self, func() []api.Node { return test.view })
			if got := owner.deputy("t"); got != test.want {
				t.Errorf("%t", got)
			}
		})
	}
}
